/**
 * Public interface of the traffic package: decisions on admission, queueing, placement and retries of calls, without I/O.
 */
export * from './CallLoad.js'
export * from './admission/AccountIndex.js'
export * from './admission/Authorizer.js'
export * from './admission/CallerWaitEstimator.js'
export * from './admission/OwnerCallLimiter.js'
export * from './admission/RunRegister.js'
export * from './hangs/HangDetector.js'
export * from './hangs/HangWatch.js'
export * from './hangs/ServicePace.js'
export * from './hangs/SilenceMeter.js'
export * from './placement/BalancedDraws.js'
export * from './placement/TargetPool.js'
export * from './placement/TargetState.js'
export * from './retries/RetryBudget.js'
export * from './slots/SlotLimiter.js'
export * from './slots/SlotQueue.js'
