import { expect, test } from 'vitest'
import { BULK_CHUNK_BYTES } from './BulkQueue.js'
import { BulkWindow } from './BulkWindow.js'

test('links share the window, and each keeps at least a chunk', () => {
  const window = new BulkWindow()
  const links = Array.from({ length: 40 }, () => ({}))
  const alone = window.linkBytes
  window.update(links[0] as object, true)
  expect(window.linkBytes).toBe(alone)
  window.update(links[1] as object, true)
  expect(window.linkBytes).toBe(alone / 2)
  for (const link of links) window.update(link, true)
  expect(window.linkBytes).toBe(BULK_CHUNK_BYTES)
})

test('link without bodies leaves its part to the others', () => {
  const window = new BulkWindow()
  const [first, second] = [{}, {}]
  const alone = window.linkBytes
  window.update(first, true)
  window.update(second, true)
  window.update(second, false)
  expect(window.linkBytes).toBe(alone)
})
