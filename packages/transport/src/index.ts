/**
 * Connections between the processes of the system: credentials, gRPC channels and listeners, and sockets for calls.
 */
export * from './Credentials.js'
export * from './LinkKeys.js'
export * from './PeerChannels.js'
export * from './PeerListener.js'
export * from './Unary.js'
export * from './BulkQueue.js'
export * from './BulkWindow.js'
export * from './FrameBuffer.js'
export * from './FrameMemory.js'
export * from './FrameSocket.js'
export * from './HttpConnection.js'
export * from './HttpConnections.js'
export * from './LeaderClient.js'
export * from './LinkSockets.js'
