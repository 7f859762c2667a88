/**
 * Types of the settings schema.
 */

/** Schema of one key. */
export interface IKeySchema {
  readonly type: 'string' | 'integer' | 'duration' | 'address' | 'list' | 'enum' | 'members' | 'addresses' | 'flag' | 'ratio' | 'quantity'
  readonly description: string
  readonly required?: boolean
  readonly default?: string
  readonly values?: readonly string[]
  readonly min?: number
  readonly max?: number
}

/** Schema of one section. */
export interface ISectionSchema {
  readonly description: string
  readonly keys: Readonly<Record<string, IKeySchema>>
}
