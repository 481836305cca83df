/** Imports every bench module, so that the benches register themselves. */
import './bench-capacity.js';
import './bench-client-blocks.js';
import './bench-quota-costs.js';
import './bench-quotas.js';
import './bench-rendezvous.js';
import './bench-rollouts.js';
import './bench-costs.js';
import './bench-overhead.js';
import './bench-load-simulated.js';
import './bench-load.js';
import './bench-retries.js';
import './bench-at-most-once.js';
import './bench-propagation.js';
