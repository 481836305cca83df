/** Gives admin actions access to the rollout tasks of a node. */
import type {NodeContext} from './node-context.js';
import type {RolloutTask} from './rollout-task.js';

const tasksOfNodes = new WeakMap<NodeContext, ReadonlyMap<string, RolloutTask>>();

export function registerRolloutTasks(context: NodeContext, tasks: ReadonlyMap<string, RolloutTask>): void {
	tasksOfNodes.set(context, tasks);
}

/** Returns an empty map if the node's roles don't include rollouts. */
export function getRolloutTasks(context: NodeContext): ReadonlyMap<string, RolloutTask> {
	return tasksOfNodes.get(context) ?? new Map<string, RolloutTask>();
}
