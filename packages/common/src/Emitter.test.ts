import { expect, test } from 'vitest'
import { Emitter } from './Emitter.js'

// Guards against listeners that keep an older state, since an earlier listener published a newer one within the event.
test('value fired by a listener reaches all others after the current one', () => {
  const emitter = new Emitter<number>()
  const received: string[] = []
  emitter.event(value => { if (value < 3) emitter.fire(value + 1) })
  emitter.event(value => received.push(`second ${value}`))
  emitter.event(value => received.push(`third ${value}`))
  emitter.fire(1)
  expect(received).toEqual(['second 1', 'third 1', 'second 2', 'third 2', 'second 3', 'third 3'])
})

test('listener that throws keeps no other from the event', () => {
  const emitter = new Emitter<number>()
  const received: number[] = []
  emitter.event(value => { if (value === 1) emitter.fire(2) })
  emitter.event(value => { if (value === 1) throw new Error('failed at 1') })
  emitter.event(value => received.push(value))
  expect(() => emitter.fire(1)).toThrow('failed at 1')
  emitter.fire(3)
  expect(received).toEqual([1, 2, 3])
})

test('errors of several listeners are thrown together', () => {
  const emitter = new Emitter<number>()
  for (const name of ['first', 'second']) emitter.event(() => { throw new Error(name) })
  expect(() => emitter.fire(1)).toThrow('2 listeners failed')
})

test('listener gets no value after it was disposed, also not one fired before', () => {
  const emitter = new Emitter<number>()
  const received: number[] = []
  emitter.event(value => {
    if (value !== 1) return
    emitter.fire(2)
    subscription.dispose()
  })
  const subscription = emitter.event(value => received.push(value))
  emitter.fire(1)
  expect(received).toEqual([])
})

test('listener that subscribes within an event gets the next value only', () => {
  const emitter = new Emitter<number>()
  const received: number[] = []
  emitter.event(value => { if (value === 1) emitter.event(later => received.push(later)) })
  emitter.fire(1)
  emitter.fire(2)
  expect(received).toEqual([2])
})
