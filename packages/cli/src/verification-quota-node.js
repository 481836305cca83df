import { createMessageBus } from '@catkindale/kernel';
import { createMembership, createNodeQuotas, } from '@catkindale/node';
/** Short, so that the run also fences members by such a list. */
const shortListMilliseconds = 3000;
const pollMilliseconds = 500;
const tickMilliseconds = 250;
const farthestClockMilliseconds = 1_000_000;
const largestClockError = 0.001;
export function createSimulatedNode(options) {
    const { world, timing, id, region } = options;
    const bus = createMessageBus();
    const clock = createSkewedClock(world);
    const quotas = createNodeQuotas({
        ownId: id,
        zone: `${region}-a`,
        region,
        incarnation: options.incarnation,
        clock,
        bus,
        leaseMilliseconds: timing.leaseMilliseconds,
        pauseLimitMilliseconds: timing.pauseLimitMilliseconds,
        schedule(run, milliseconds) {
            let isWanted = true;
            world.after(milliseconds, () => {
                node.run(() => {
                    if (isWanted) {
                        run();
                    }
                });
            });
            return () => {
                isWanted = false;
            };
        },
    });
    let deferred = [];
    const node = {
        id,
        region,
        incarnation: options.incarnation,
        quotas,
        isAlive: true,
        isPaused: false,
        version: 0,
        configure(configuration) {
            if (configuration.version <= node.version) {
                return;
            }
            node.version = configuration.version;
            bus.publish({ type: 'configuration-changed', ...configuration });
            raiseAlone();
        },
        setListed(ids) {
            membership.setListed(ids);
        },
        receive(from, message) {
            bus.publish({ type: 'peer-received', from, message });
        },
        run(action) {
            if (!node.isAlive) {
                return;
            }
            if (node.isPaused) {
                deferred.push(action);
                return;
            }
            action();
        },
        resume(frozenMilliseconds, runFirst) {
            clock.freeze(frozenMilliseconds);
            node.isPaused = false;
            runFirst();
            const actions = deferred;
            deferred = [];
            for (const action of actions) {
                node.run(action);
            }
        },
        leave() {
            void membership.leave();
        },
    };
    const raiseAlone = () => {
        if (timing.isRaisingAlone) {
            quotas.requests.raise();
            quotas.slots.raise(new Set());
            quotas.links.raise(new Set());
        }
    };
    const membership = createMembership({
        table: options.table.connect(node.run, options.isTableReachable),
        ledger: quotas.ledger,
        getOwnMember: () => ({
            id, incarnation: options.incarnation, region, zone: `${region}-a`, callerAddress: '', peerAddress: '', state: 'live',
        }),
        clock: quotas.clock,
        limits: {
            silenceMilliseconds: timing.silenceMilliseconds,
            expiryMilliseconds: timing.expiryMilliseconds,
            requestMilliseconds: () => timing.requestMilliseconds,
            shortListMilliseconds,
        },
    });
    bus.subscribe('peer-send', ({ to, message }) => {
        options.send(to, message);
    });
    bus.subscribe('membership-changed', raiseAlone);
    const poll = () => {
        node.run(() => {
            void pollAgain();
        });
    };
    const pollAgain = async () => {
        await membership.poll();
        world.after(pollMilliseconds, poll);
    };
    let isReportDue = false;
    const tick = () => {
        node.run(() => {
            isReportDue = !isReportDue;
            quotas.ledger.tick(isReportDue);
            world.after(tickMilliseconds, tick);
        });
    };
    poll();
    world.after(world.random.integer(0, tickMilliseconds), tick);
    return node;
}
/** Clocks of nodes differ in their origin and slightly in their rate. */
function createSkewedClock({ random, now }) {
    const origin = random.integer(0, farthestClockMilliseconds);
    const rate = 1 + (largestClockError * ((random.fraction() * 2) - 1));
    let frozen = 0;
    return {
        freeze(milliseconds) {
            frozen += milliseconds;
        },
        monotonic: () => origin + ((now() - frozen) * rate),
        wall: () => farthestClockMilliseconds + origin + (now() * rate),
    };
}
//# sourceMappingURL=verification-quota-node.js.map