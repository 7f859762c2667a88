/**
 * Types of the settings schema.
 */

/** Schema of one key. */
export interface IKeySchema {
  readonly type: 'string' | 'integer' | 'duration' | 'address' | 'list' | 'enum' | 'members' | 'addresses' | 'flag' | 'ratio' | 'quantity'
  readonly description: string
  readonly required?: boolean
  readonly default?: string
  /** True if an empty value stands for the default, as in files rendered by a platform that doesn't state every bound. */
  readonly emptyIsDefault?: boolean
  readonly values?: readonly string[]
  readonly min?: number
  readonly max?: number
}

/** Schema of one section. */
export interface ISectionSchema {
  readonly description: string
  readonly keys: Readonly<Record<string, IKeySchema>>
}

/** Name of the field that holds the value of a key, in camel case; durations end with their unit. */
type FieldName<Name extends string, Key extends IKeySchema> =
  Key['type'] extends 'duration' ? `${CamelCase<Name>}Ms` : CamelCase<Name>

type CamelCase<Name extends string> = Name extends `${infer First}_${infer Rest}` ? `${First}${Capitalize<CamelCase<Rest>>}` : Name

interface IAddress {
  host: string
  port: number
}

/** Types of values that don't depend on the key. */
interface IPlainValues {
  string: string
  integer: number
  duration: number
  address: IAddress
  members: Array<{ name: string, address: string }>
  addresses: IAddress[]
  flag: boolean
  ratio: number
  quantity: number
}

type SettingValueOf<Key extends IKeySchema> =
  Key['type'] extends keyof IPlainValues
    ? IPlainValues[Key['type']]
    : Key extends { type: 'list', values: ReadonlyArray<infer Choice> }
      ? Choice[]
      : Key extends { values: ReadonlyArray<infer Choice> } ? Choice : string

/** Values of all sections of a schema, by section and field name. */
export type SectionValues<Schema extends Readonly<Record<string, ISectionSchema>>> = {
  readonly [Section in keyof Schema]: {
    readonly [Name in keyof Schema[Section]['keys'] & string as FieldName<Name, Schema[Section]['keys'][Name]>]:
    SettingValueOf<Schema[Section]['keys'][Name]>
  }
}
