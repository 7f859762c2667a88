/**
 * gRPC between the processes of the system: keys, channels and listeners.
 */
export * from './Credentials.js'
export * from './PeerChannels.js'
export * from './PeerListener.js'
export * from './Unary.js'
export * from './FrameSocket.js'
export * from './LeaderClient.js'
export * from './LinkSockets.js'
