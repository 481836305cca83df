/** A promise that an event resolves is followed by so many steps at most before the next event. */
const microtaskTurns = 8;
/** Events without an answer of the table resolve promises of one step. */
const usualTurns = 2;
export function createWorld(random) {
    const events = [];
    let now = 0;
    let order = 0;
    let turns = usualTurns;
    return {
        random,
        now: () => now,
        settle() {
            turns = microtaskTurns;
        },
        after(milliseconds, run) {
            order += 1;
            pushEvent(events, { at: now + Math.max(0, milliseconds), order, run });
        },
        async runUntil(time) {
            for (let next = events[0]; next && next.at <= time; next = events[0]) {
                popEvent(events);
                now = next.at;
                next.run();
                for (let turn = 0; turn < turns; turn++) {
                    await Promise.resolve();
                }
                turns = usualTurns;
            }
            now = time;
        },
    };
}
const longestTableDelayMilliseconds = 150;
export function createFakeTable(world) {
    const rows = new Map();
    const fake = {
        isDown: false,
        lostAnswerShare: 0,
        rows,
        connect(deliver, isReachable) {
            const call = async (run, lost) => new Promise(resolve => {
                world.after(world.random.integer(0, longestTableDelayMilliseconds), () => {
                    const isUp = !fake.isDown && isReachable();
                    const outcome = isUp ? run() : { kind: 'not-done', reason: 'outage' };
                    const isLost = isUp && world.random.fraction() < fake.lostAnswerShare;
                    world.after(world.random.integer(0, longestTableDelayMilliseconds), () => {
                        deliver(() => {
                            resolve(isLost ? lost : outcome);
                            world.settle();
                        });
                    });
                });
            });
            return {
                get: async (key) => call(() => ({ kind: 'done', value: rows.get(key) }), { kind: 'not-done', reason: 'lost' }),
                list: async (prefix) => call(() => ({ kind: 'done', value: [...rows.values()].filter(row => row.key.startsWith(prefix)) }), { kind: 'not-done', reason: 'lost' }),
                transact: async (changeId, writes) => call(() => transact(rows, changeId, writes), { kind: 'unknown', reason: 'lost' }),
                async close() {
                    // Nothing is held.
                },
            };
        },
    };
    return fake;
}
function transact(rows, changeId, writes) {
    const conflicts = writes.filter(write => (rows.get(write.key)?.version ?? 0) !== write.expectedVersion);
    if (conflicts.length > 0) {
        return { kind: 'conflict', rows: conflicts.flatMap(write => rows.get(write.key) ?? []) };
    }
    const written = writes.map(write => ({
        key: write.key, version: write.expectedVersion + 1, changeId, value: write.value,
    }));
    for (const row of written) {
        rows.set(row.key, row);
    }
    return { kind: 'done', value: written };
}
function isBefore(left, right) {
    return left.at === right.at ? left.order < right.order : left.at < right.at;
}
/** Adds to the binary heap. */
function pushEvent(events, event) {
    let index = events.length;
    events.push(event);
    while (index > 0) {
        const parent = Math.floor((index - 1) / 2);
        if (!isBefore(event, events[parent])) {
            break;
        }
        events[index] = events[parent];
        index = parent;
    }
    events[index] = event;
}
/** Removes the earliest event of the binary heap. */
function popEvent(events) {
    const last = events.pop();
    if (!last || events.length === 0) {
        return;
    }
    let index = 0;
    for (let child = 1; child < events.length; child = (2 * index) + 1) {
        const right = child + 1;
        const earlier = right < events.length && isBefore(events[right], events[child]) ? right : child;
        if (!isBefore(events[earlier], last)) {
            break;
        }
        events[index] = events[earlier];
        index = earlier;
    }
    events[index] = last;
}
//# sourceMappingURL=verification-quota-world.js.map