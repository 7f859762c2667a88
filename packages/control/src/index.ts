/**
 * The control VM: replicated state, moves and the source of the feed.
 */
export * from './raft/FileStorage.js'
export * from './raft/MemoryStorage.js'
export * from './raft/RaftGroup.js'
export * from './raft/RaftStorage.js'
export * from './raft/RaftTransport.js'
export * from './raft/RaftTypes.js'
export * from './raft/StateMachine.js'
export * from './ControlRole.js'
export * from './catalogue/CatalogueStateMachine.js'
export * from './catalogue/Publisher.js'
export * from './claims/ClaimsStateMachine.js'
export * from './moves/MoveController.js'
export * from './moves/MoveSchedule.js'
export * from './raft/GrpcTransport.js'
