/** Messages in which nodes agree on their allocations of quotas and lend parts of them. */
import * as z from 'zod';
import {ledgerSchema, slotLoanMilliseconds} from '@catkindale/policy';

const nonNegativeNumber = z.number().min(0);

/** Sent to each member: the ledger position that the sender applies, and the echo that renews the member's lease. */
export const ledgerReportMessageSchema = z.object({
	type: z.literal('ledger-report'),
	incarnation: z.string(),
	epoch: z.int(),
	version: z.int(),
	/** Targets at which the sender still uses more than its allocation at that position. */
	overhang: z.array(z.string()),
	/** The sender's monotonic time in milliseconds. */
	sentAt: z.number(),
	/** The latest `sentAt` received from the receiver's incarnation; absent if that incarnation is fenced. */
	echoedAt: z.number().optional(),
	/** The incarnation that sent the echoed `sentAt`. */
	echoedIncarnation: z.string().optional(),
});

/** A ledger row as committed in the table. */
export const ledgerRowMessageSchema = z.object({
	type: z.literal('ledger-row'),
	ledger: ledgerSchema,
});

/** Requests a token loan from a customer's quota, or the renewal of the loan with this identifier. */
export const tokenLoanRequestMessageSchema = z.object({
	type: z.literal('request-loan-wish'),
	id: z.string(),
	/** Matches a grant to the first loan request or to one of its renewals. */
	attempt: z.int(),
	customer: z.string(),
	rate: nonNegativeNumber,
	burst: nonNegativeNumber,
	/** How long the longest-waiting request has waited. */
	waitedMilliseconds: nonNegativeNumber,
});

/** Reply to a token loan request; a burst of 0 grants nothing. */
export const tokenGrantMessageSchema = z.object({
	type: z.literal('request-loan'),
	id: z.string(),
	attempt: z.int(),
	customer: z.string(),
	rate: nonNegativeNumber,
	burst: nonNegativeNumber,
	tokens: nonNegativeNumber,
});

/** The borrower returns the loan and no longer uses it. */
export const tokenReturnMessageSchema = z.object({
	type: z.literal('request-return'),
	id: z.string(),
	customer: z.string(),
});

/** Requests a loan of slots of a target. */
export const slotLoanRequestMessageSchema = z.object({
	type: z.literal('slot-loan-wish'),
	id: z.string(),
	target: z.string(),
	slots: z.int().min(0),
	/** Requested duration of the loan, from the sending of the request. */
	milliseconds: z.number().positive().default(slotLoanMilliseconds),
});

/** Reply to a slot loan request; 0 slots grant nothing. */
export const slotGrantMessageSchema = z.object({
	type: z.literal('slot-loan'),
	id: z.string(),
	target: z.string(),
	slots: z.int().min(0),
	/** Duration of the loan, from the sending of the request. */
	milliseconds: z.number().positive().default(slotLoanMilliseconds),
});

/** The borrower returns the loan and no longer uses it. */
export const slotReturnMessageSchema = z.object({
	type: z.literal('slot-return'),
	id: z.string(),
	target: z.string(),
});

/** The lender asks the borrower to return the loan once no request uses it. */
export const slotRecallMessageSchema = z.object({
	type: z.literal('slot-recall'),
	id: z.string(),
	target: z.string(),
});

export const quotaMessageSchemas = [
	ledgerReportMessageSchema,
	ledgerRowMessageSchema,
	tokenLoanRequestMessageSchema,
	tokenGrantMessageSchema,
	tokenReturnMessageSchema,
	slotLoanRequestMessageSchema,
	slotGrantMessageSchema,
	slotReturnMessageSchema,
	slotRecallMessageSchema,
] as const;

export type LedgerReportMessage = z.infer<typeof ledgerReportMessageSchema>;
export type LedgerRowMessage = z.infer<typeof ledgerRowMessageSchema>;
export type TokenLoanRequestMessage = z.infer<typeof tokenLoanRequestMessageSchema>;
export type TokenGrantMessage = z.infer<typeof tokenGrantMessageSchema>;
export type TokenReturnMessage = z.infer<typeof tokenReturnMessageSchema>;
export type SlotLoanRequestMessage = z.infer<typeof slotLoanRequestMessageSchema>;
export type SlotGrantMessage = z.infer<typeof slotGrantMessageSchema>;
export type SlotReturnMessage = z.infer<typeof slotReturnMessageSchema>;
export type SlotRecallMessage = z.infer<typeof slotRecallMessageSchema>;
