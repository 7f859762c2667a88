/**
 * Schema of the declaration of a catalogue entry. Each entry declares one service.
 */
import { z } from 'zod'
import { parseDurationMs } from '@lagoonswitch/common'
import { createListSchema } from '../BoundedList.js'

const NAME = z.string().regex(/^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$/,
  'use letters, digits, hyphens, dots and underscores, at most 128')
const VERSION_NAME = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'use letters, digits, dots and hyphens')
const DURATION = z.string().refine(text => (parseDurationMs(text) ?? 0) > 0, 'use a duration such as 250ms or 2s')
const TIME = z.iso.datetime({ offset: true, error: 'use an ISO 8601 time with its offset, such as 2026-12-04T18:00:00Z' })
const METHODS = z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])

/** Priority classes, most important first. */
export const CALL_CLASSES = ['first', 'high', 'normal', 'low'] as const

/** Largest weight of a part, so that sums of weights stay exact. */
const MAX_WEIGHT = 1_000_000_000

const WEIGHTED_SERVICE = z.strictObject({ service: NAME, weight: z.number().min(0).max(MAX_WEIGHT) })

const ROUTE = z.strictObject({
  name: NAME,
  path: z.string().startsWith('/', 'start the path with /'),
  /** Defaults to every method. */
  methods: createListSchema(METHODS, 1).optional(),
  /**
   * safe: a read; idempotent: may run more than once; keyed: requires an idempotency key and runs at most once;
   * single-try: runs at most once without a key, so it is never retried once it may have run.
   */
  idempotency: z.enum(['safe', 'idempotent', 'keyed', 'single-try']),
  /** True if responses are large, such as downloads; their bytes yield to those of other calls on the links between processes. */
  bulk: z.boolean().optional(),
  /** True if request bodies are large, such as uploads; they are sent under flow control, and yield to other calls on the links. */
  bulk_body: z.boolean().optional(),
  /** True if calls need no key although the catalogue has client accounts. */
  anonymous: z.boolean().optional(),
  service: NAME.optional(),
  /** Services among which the calls are split by weight, instead of one service. */
  parts: createListSchema(WEIGHTED_SERVICE, 1).optional(),
  class: z.enum(CALL_CLASSES).optional(),
  deadline: DURATION.optional(),
  /** Latency objective: a later response is worth less to the caller. */
  objective: DURATION.optional(),
  /** Maximum number of targets that may run one call. */
  attempts: z.number().int().min(1).max(100).optional()
})

const LIMITS = z.strictObject({
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(10_000),
  queue: z.number().int().min(0).max(100_000).default(32),
  deadline: DURATION.default('10s'),
  retry_budget: z.number().min(0).max(1).default(0.1),
  owner_slots: z.number().int().min(1).max(1_000_000).optional()
})

const MOVE = z.strictObject({
  to: VERSION_NAME,
  by: TIME,
  first_share: z.number().gt(0).max(0.5).default(0.01),
  watch: DURATION.default('10m'),
  /** Whether the check or the time takes precedence if the evidence is incomplete at the time `by`. */
  prefer: z.enum(['check', 'time']).default('check')
})

/** Schema of one entry. */
export const ENTRY_SCHEMA = z.strictObject({
  entry: NAME,
  owner: NAME,
  class: z.enum(CALL_CLASSES),
  host: z.string().optional(),
  limits: LIMITS,
  routes: createListSchema(ROUTE),
  /** Version in use. If omitted, every announced version is used except one that a move introduced or took back. */
  version: VERSION_NAME.optional(),
  move: MOVE.optional()
})

/** One entry, inferred from the schema. */
export type IEntry = z.infer<typeof ENTRY_SCHEMA>
/** One route of an entry. */
export type IRoute = IEntry['routes'][number]
/** Methods of a route that declares none. */
export const ALL_METHODS = METHODS.options
/** Priority of a call. */
export type CallClassName = typeof CALL_CLASSES[number]
