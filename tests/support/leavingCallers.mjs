/**
 * Worker thread with callers that send a call and disconnect without waiting for the response, while the thread of the test is
 * blocked; posts a message once all have disconnected.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { workerData } from 'node:worker_threads'

const DISCONNECT_DELAY_MS = 100
const { port, count, sendPort } = workerData

async function callAndDisconnect () {
  const socket = connect(port, '127.0.0.1')
  await once(socket, 'connect')
  socket.write('GET /read HTTP/1.1\r\nhost: x\r\n\r\n')
  await sleep(DISCONNECT_DELAY_MS)
  socket.destroy()
  await once(socket, 'close')
}

await Promise.all(Array.from({ length: count }, callAndDisconnect))
sendPort.postMessage('left')
sendPort.close()
