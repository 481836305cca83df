/** Loads every randomised run, so that it registers itself. */
import './verification-quotas.js';
import './verification-token-bucket.js';
