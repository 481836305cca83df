/**
 * The links' part of the quotas' randomised run: bodies of both classes that
 * cross between regions in parts, whatever becomes of the node that reserved.
 */
import { getLinkName, linkReadBytes, requestClasses, } from '@catkindale/policy';
const slowestBytesPerSecond = 100_000;
const fastestBytesPerSecond = 4_000_000;
const smallestBurstBytes = 262_144;
const largestBurstBytes = 2_000_000;
const longestPartMilliseconds = 400;
const longestTransferMilliseconds = 3000;
const mostParts = 12;
const mostTransfersAtOnce = 10;
/** Links both ways between the first two regions, and one way to the third. */
export function createLinks({ random }, [first = '', second = '', third = '']) {
    const pairs = [[first, second], [second, first], [first, third]];
    return pairs.map(([from, to]) => ({
        from,
        to,
        bytesPerSecond: random.integer(slowestBytesPerSecond, fastestBytesPerSecond),
        ...(random.fraction() < 0.7 && { burstBytes: random.integer(smallestBurstBytes, largestBurstBytes) }),
    }));
}
/** Begins bodies on the links of the node's region. */
export function startTransfers(fleet, node) {
    const { random } = fleet.world;
    const links = fleet.configuration.configuration.links.filter(link => link.from === node.region || link.to === node.region);
    const link = links[random.integer(0, links.length - 1)];
    const name = link && getLinkName(link);
    // A node without a configuration has no route either.
    if (name === undefined || !node.quotas.links.isLimited(name)) {
        return;
    }
    const bunch = random.fraction() < 0.2 ? mostTransfersAtOnce : 1;
    for (let index = 0; index < bunch; index++) {
        const requestClass = requestClasses[random.integer(0, requestClasses.length - 1)];
        startTransfer(fleet, node, name, requestClass);
    }
}
function startTransfer({ world, count }, node, link, requestClass) {
    const { random, after, now } = world;
    const transfer = node.quotas.links.open(link, requestClass);
    const endsAt = now() + longestTransferMilliseconds;
    let parts = random.integer(1, mostParts);
    let isComing = false;
    const end = () => {
        parts = 0;
        if (!isComing) {
            transfer.close();
        }
    };
    /** Bytes that were let come do come, though the node may be paused or dead by then. */
    const receive = (bytes) => {
        isComing = true;
        after(random.integer(0, Math.min(longestPartMilliseconds, endsAt - now())), () => {
            count.cross(link, bytes);
            node.run(() => {
                isComing = false;
                transfer.use(bytes);
                parts -= 1;
                reserveNext();
            });
        });
    };
    const reserveNext = () => {
        if (parts <= 0 || now() >= endsAt) {
            end();
            return;
        }
        transfer.reserve(linkReadBytes - transfer.getReserved(), isReserved => {
            if (!isReserved || now() >= endsAt) {
                end();
                return;
            }
            receive(random.integer(1, linkReadBytes));
        });
    };
    // A request that waits for the link is given up at its deadline.
    after(longestTransferMilliseconds, () => {
        node.run(end);
    });
    reserveNext();
}
//# sourceMappingURL=verification-link-load.js.map