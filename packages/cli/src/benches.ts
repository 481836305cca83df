/** Loads every bench, so that it registers itself. */
import './bench-client-blocks.js';
import './bench-rendezvous.js';
import './bench-costs.js';
import './bench-load-simulated.js';
