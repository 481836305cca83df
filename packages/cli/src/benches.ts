/** Loads every bench, so that it registers itself. */
import './bench-rendezvous.js';
