import { expect, test } from 'vitest'
import { CallClass } from '@lagoonswitch/schema'
import { CompetitionModel, type ICompetitionResult, type IGroupResult } from '../testing/CompetitionModel.js'

const SEEDS = [1, 2, 3]
/** Stated target: a burst of one account lowers the share of the others' calls that are served by no more than this. */
const MAX_BURST_LOSS = 0.02
/** Stated target: no account, class or kind is served less than this fraction of the share of all. */
const MIN_SHARE_RATIO = 0.25

function computeShare ({ calls, served }: IGroupResult): number {
  return served / calls
}

function computeGroupShare ({ groups }: ICompetitionResult, group: string): number {
  return computeShare(groups.get(group) as IGroupResult)
}

const ONE_CLASS = [CallClass.CALL_CLASS_NORMAL]
const ALL_CLASSES = [CallClass.CALL_CLASS_HIGH, CallClass.CALL_CLASS_NORMAL, CallClass.CALL_CLASS_NORMAL, CallClass.CALL_CLASS_LOW]

/** Prints the results of one run. */
function report (name: string, { all, groups }: ICompetitionResult): { lowestRatio: number, worstTenth: number } {
  const sorted = [...groups].filter(([group]) => !group.startsWith('others')).sort(([, a], [, b]) => computeShare(a) - computeShare(b))
  const accounts = sorted.filter(([group]) => group.startsWith('account')).map(([, result]) => result)
  const worst = accounts.slice(0, Math.ceil(accounts.length / 10))
  const average = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const worstTenth = average(worst.map(computeShare))
  const [lowest, lowestResult] = sorted[0] as [string, IGroupResult]
  const lowestRatio = computeShare(lowestResult) / computeShare(all)
  console.log(`${name}: served ${computeShare(all).toFixed(3)}, value ${(all.value / all.calls).toFixed(3)}; worst tenth of accounts: ` +
    `served ${worstTenth.toFixed(3)}, value ${average(worst.map(({ value, calls }) => value / calls)).toFixed(3)}; ` +
    `lowest: ${lowest}, ${lowestRatio.toFixed(2)} of all; refused attempts per call ${(all.refusals / all.calls).toFixed(2)}, ` +
    `${(all.immediateRefusals / all.refusals).toFixed(2)} of them at once`)
  return { lowestRatio, worstTenth }
}

const CASES = [
  [1, 'one class', ONE_CLASS], [1.3, 'one class', ONE_CLASS], [1.8, 'one class', ONE_CLASS],
  [1, 'all classes', ALL_CLASSES], [1.3, 'all classes', ALL_CLASSES], [1.8, 'all classes', ALL_CLASSES]
] as const

test.each(CASES)('no account, class or kind starves while one account sends a burst: load %s, %s', (load, name, classes) => {
  for (const seed of SEEDS) {
    const before = report(`load ${load}, ${name}, seed ${seed}, before`, new CompetitionModel({ seed, load, classes, hasAccounts: false }).run())
    const now = report(`load ${load}, ${name}, seed ${seed}, now`, new CompetitionModel({ seed, load, classes, hasAccounts: true }).run())
    expect(now.lowestRatio).toBeGreaterThanOrEqual(MIN_SHARE_RATIO)
    expect(now.worstTenth).toBeGreaterThan(before.worstTenth)
  }
})

test.each(CASES)('with declared rates a burst of one account takes only what the others leave: load %s, %s', (load, name, classes) => {
  for (const seed of SEEDS) {
    const settings = { seed, load, classes, hasAccounts: true }
    report(`load ${load}, ${name}, seed ${seed}, by waiting calls`, new CompetitionModel(settings).run())
    const burst = new CompetitionModel({ ...settings, hasRates: true }).run()
    const { lowestRatio } = report(`load ${load}, ${name}, seed ${seed}, declared rates`, burst)
    const quiet = new CompetitionModel({ ...settings, hasRates: true, hasBurst: false }).run()
    const losses = ['others', 'others-meanwhile'].map(group => computeGroupShare(quiet, group) - computeGroupShare(burst, group))
    console.log(`load ${load}, ${name}, seed ${seed}, declared rates: share that the burst takes from the others ` +
      `${losses.map(loss => loss.toFixed(3)).join(', during the burst ')}`)
    expect.soft(lowestRatio).toBeGreaterThanOrEqual(MIN_SHARE_RATIO)
    expect.soft(losses[0]).toBeLessThanOrEqual(MAX_BURST_LOSS)
  }
})
