/**
 * Result type for expected failures. The package ts-results is CommonJS, so its names are
 * re-exported here for native ES modules.
 */
import tsResults, { type Result as ResultType, type Ok as OkType, type Err as ErrType } from 'ts-results'

export const { Ok, Err } = tsResults
export type Result<T, E> = ResultType<T, E>
export type Ok<T> = OkType<T>
export type Err<E> = ErrType<E>
