/** Imports every verification module; each registers itself on import. */
import './verification-at-most-once.js';
import './verification-fairness.js';
import './verification-links.js';
import './verification-quotas.js';
import './verification-retry-budget.js';
import './verification-rollouts.js';
import './verification-target-choice.js';
import './verification-shifts.js';
import './verification-token-bucket.js';
import './verification-configuration.js';
