/** The ways in which an attempt at a target can end. */

export const attemptKinds = ['answered', 'failed', 'shed', 'not-sent', 'lost', 'cancelled'] as const;
export type AttemptKind = typeof attemptKinds[number];
