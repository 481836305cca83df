/** Gives the operators' actions a view of the rollouts that a node follows. */
import type {NodeContext} from './node-context.js';
import type {RolloutTask} from './rollout-task.js';

const tasksOfNodes = new WeakMap<NodeContext, ReadonlyMap<string, RolloutTask>>();

export function registerRolloutTasks(context: NodeContext, tasks: ReadonlyMap<string, RolloutTask>): void {
	tasksOfNodes.set(context, tasks);
}

/** Empty if the node's roles don't include the rollouts. */
export function getRolloutTasks(context: NodeContext): ReadonlyMap<string, RolloutTask> {
	return tasksOfNodes.get(context) ?? new Map<string, RolloutTask>();
}
