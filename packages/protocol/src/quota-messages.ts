/** Messages by which nodes agree on shares of the quotas and lend parts of them. */
import * as z from 'zod';
import {ledgerSchema, slotLoanMilliseconds} from '@catkindale/policy';

const amount = z.number().min(0);

/** What a node tells each member: the mark it acts on, and the echo that renews the member's lease. */
export const ledgerReportMessageSchema = z.object({
	type: z.literal('ledger-report'),
	incarnation: z.string(),
	epoch: z.int(),
	version: z.int(),
	/** Targets at which the sender still uses more than its share of the mark. */
	overhang: z.array(z.string()),
	/** The sender's monotonic time in milliseconds. */
	sentAt: z.number(),
	/** The latest `sentAt` of the receiver's incarnation, unless that is fenced. */
	echoedAt: z.number().optional(),
	/** The incarnation that sent it. */
	echoedIncarnation: z.string().optional(),
});

/** A ledger row as the table committed it. */
export const ledgerRowMessageSchema = z.object({
	type: z.literal('ledger-row'),
	ledger: ledgerSchema,
});

/** Asks for a part of a customer's quota, or to renew the loan of that identifier. */
export const requestLoanWishMessageSchema = z.object({
	type: z.literal('request-loan-wish'),
	id: z.string(),
	/** Tells the answers to a first request and to its renewals apart. */
	attempt: z.int(),
	customer: z.string(),
	rate: amount,
	burst: amount,
	/** How long the first of the requests that wait has waited. */
	waitedMilliseconds: amount,
});

/** Answers a wish; a burst of 0 lends nothing. */
export const requestLoanMessageSchema = z.object({
	type: z.literal('request-loan'),
	id: z.string(),
	attempt: z.int(),
	customer: z.string(),
	rate: amount,
	burst: amount,
	tokens: amount,
});

/** The borrower uses the loan no more. */
export const requestReturnMessageSchema = z.object({
	type: z.literal('request-return'),
	id: z.string(),
	customer: z.string(),
});

export const slotLoanWishMessageSchema = z.object({
	type: z.literal('slot-loan-wish'),
	id: z.string(),
	target: z.string(),
	slots: z.int().min(0),
	/** How long the loan should last from the sending of the wish. */
	milliseconds: z.number().positive().default(slotLoanMilliseconds),
});

export const slotLoanMessageSchema = z.object({
	type: z.literal('slot-loan'),
	id: z.string(),
	target: z.string(),
	slots: z.int().min(0),
	/** How long the loan lasts from the sending of the wish. */
	milliseconds: z.number().positive().default(slotLoanMilliseconds),
});

/** The borrower uses the loan no more. */
export const slotReturnMessageSchema = z.object({
	type: z.literal('slot-return'),
	id: z.string(),
	target: z.string(),
});

/** The lender wants the loan back as soon as nothing runs on it. */
export const slotRecallMessageSchema = z.object({
	type: z.literal('slot-recall'),
	id: z.string(),
	target: z.string(),
});

export const quotaMessageSchemas = [
	ledgerReportMessageSchema,
	ledgerRowMessageSchema,
	requestLoanWishMessageSchema,
	requestLoanMessageSchema,
	requestReturnMessageSchema,
	slotLoanWishMessageSchema,
	slotLoanMessageSchema,
	slotReturnMessageSchema,
	slotRecallMessageSchema,
] as const;

export type LedgerReportMessage = z.infer<typeof ledgerReportMessageSchema>;
export type LedgerRowMessage = z.infer<typeof ledgerRowMessageSchema>;
export type RequestLoanWishMessage = z.infer<typeof requestLoanWishMessageSchema>;
export type RequestLoanMessage = z.infer<typeof requestLoanMessageSchema>;
export type RequestReturnMessage = z.infer<typeof requestReturnMessageSchema>;
export type SlotLoanWishMessage = z.infer<typeof slotLoanWishMessageSchema>;
export type SlotLoanMessage = z.infer<typeof slotLoanMessageSchema>;
export type SlotReturnMessage = z.infer<typeof slotReturnMessageSchema>;
export type SlotRecallMessage = z.infer<typeof slotRecallMessageSchema>;
