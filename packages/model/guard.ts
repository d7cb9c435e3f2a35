/**
 * Guards: the rules of the protocol on which its invariants rely. Each guard
 * can be switched off by name; the exploration must then find a violated
 * invariant, which shows that the guard is necessary.
 */

/**
 * Names of the guards. The value is the name on the command line;
 * {@link GUARD_RULES} states each rule.
 */
export enum Guard {
  VersionCheck = "version-check",
  ReadBackBeforeRetry = "read-back-before-retry",
  DeadlineStopsReserving = "deadline-stops-reserving",
  CloseOnlyWhenUnreserved = "close-only-when-unreserved",
  BoundCancelsStream = "bound-cancels-stream",
  TopUpIdKept = "top-up-id-kept",
  WriteOffWhole = "write-off-whole",
  DebitBeforeSend = "debit-before-send",
  CreditOncePerId = "credit-once-per-id",
  TransferNamesIncarnation = "transfer-names-incarnation",
  LoanCountsAsSpent = "loan-counts-as-spent",
  LoanReturnedOnce = "loan-returned-once",
  LoanGivenToOne = "loan-given-to-one",
  LoanPartCountedOnce = "loan-part-counted-once",
  LoanPartLeavesLoan = "loan-part-leaves-loan",
  ClaimBeforeDispatch = "claim-before-dispatch",
  ClaimNeverChangesHolder = "claim-never-changes-holder",
  ClaimNamesAttempt = "claim-names-attempt",
  FinishedClaimStays = "finished-claim-stays",
  HeldClaimIsUnknown = "held-claim-is-unknown",
  BrokenCallIsUnknown = "broken-call-is-unknown",
  BillIdentity = "bill-identity",
  BillBeforeEnd = "bill-before-end",
  BillKeptUntilDurable = "bill-kept-until-durable",
  BillCopyAdopted = "bill-copy-adopted",
  RetryStartsOver = "retry-starts-over",
  GivenUpConnectionClosed = "given-up-connection-closed",
  KeyNamesBody = "key-names-body",
  LeaseDeadlineChecked = "lease-deadline-checked",
  LeaseFromSend = "lease-from-send",
  LeaseObservedWhole = "lease-observed-whole",
  FencingToken = "fencing-token",
  FencingWait = "fencing-wait",
  DocumentVersionRises = "document-version-rises",
  SectionVersionChecked = "section-version-checked",
  WholeCheckedTogether = "whole-checked-together",
  ChangeIdKept = "change-id-kept",
  RestartReadsStore = "restart-reads-store",
  StandbyWaits = "standby-waits",
  StandbyCountsFromSend = "standby-counts-from-send",
  StandbyNamedInWord = "standby-named-in-word",
  StandbyProofInTime = "standby-proof-in-time",
}

/** The rule of each guard in one sentence, as `model --list` prints it. */
export const GUARD_RULES: Readonly<Record<Guard, string>> = {
  [Guard.VersionCheck]:
    "A write is committed only if its row still has the version that was read.",
  [Guard.ReadBackBeforeRetry]:
    "After a lost answer the row is read and the operation is decided again.",
  [Guard.DeadlineStopsReserving]:
    "A grant accepts no new reservation after its deadline.",
  [Guard.CloseOnlyWhenUnreserved]:
    "A grant is closed only when no request holds a reservation on it.",
  [Guard.BoundCancelsStream]:
    "A stream is cancelled when it has used all reserved tokens.",
  [Guard.TopUpIdKept]:
    "The id of a top-up is stored, so that the top-up is applied only once.",
  [Guard.WriteOffWhole]:
    "The grant of a lost incarnation counts as fully spent, whatever it last reported.",
  [Guard.DebitBeforeSend]:
    "The lender debits a loan before it sends the transfer.",
  [Guard.CreditOncePerId]: "The borrower credits each transfer id only once.",
  [Guard.TransferNamesIncarnation]:
    "A transfer is credited only by the incarnation that asked for it.",
  [Guard.LoanCountsAsSpent]:
    "The lender's grant is closed with its loans counted as spent.",
  [Guard.LoanReturnedOnce]:
    "The budget row records which loans were returned and accepts each return only once.",
  [Guard.LoanGivenToOne]:
    "A loan that is given back to its lender is never returned to the budget row as well.",
  [Guard.LoanPartCountedOnce]:
    "The lender counts the report of each part of a loan only once.",
  [Guard.LoanPartLeavesLoan]:
    "Tokens that are lent on are no longer a part of the loan that they were lent on from.",
  [Guard.ClaimBeforeDispatch]:
    "A call that may not be repeated is dispatched only under a durable claim.",
  [Guard.ClaimNeverChangesHolder]:
    "An open claim is never taken over, even when its holder seems dead.",
  [Guard.ClaimNamesAttempt]:
    "A claim names the attempt that may dispatch the call, not only its VM.",
  [Guard.FinishedClaimStays]:
    "A claim whose call has run answers retries and is never claimed again.",
  [Guard.HeldClaimIsUnknown]:
    "A retry that finds an open claim of another attempt is not reported as not-run.",
  [Guard.BrokenCallIsUnknown]:
    "A call whose connection broke after a byte was sent is not reported as not-run.",
  [Guard.BillIdentity]:
    "Bills of one customer and request key count once, however often they are stored.",
  [Guard.BillBeforeEnd]:
    "While the store is available, an answer ends only after its bill is durable or copied.",
  [Guard.BillKeptUntilDurable]:
    "A bill stays in memory until its write is confirmed.",
  [Guard.BillCopyAdopted]:
    "When an incarnation has ended, the VM that holds copies of its bills writes them.",
  [Guard.RetryStartsOver]:
    "The chunks of a repeated run are never appended to those of another run.",
  [Guard.GivenUpConnectionClosed]:
    "A connection whose request was abandoned is closed and never reused.",
  [Guard.KeyNamesBody]:
    "A request that reuses a request key with another body gets no kept answer.",
  [Guard.LeaseDeadlineChecked]:
    "A holder reads its monotonic clock before each order and sends none after the deadline.",
  [Guard.LeaseFromSend]:
    "A holder measures its lease from before the write was sent.",
  [Guard.LeaseObservedWhole]:
    "A lease is taken over only after its row was seen unchanged for a full lease time.",
  [Guard.FencingToken]:
    "A target that checks fencing tokens refuses an order with an older token.",
  [Guard.FencingWait]:
    "A new holder waits for the longest order time before it gives orders to targets that ignore fencing tokens.",
  [Guard.DocumentVersionRises]:
    "A VM applies only a document version that is higher than its own.",
  [Guard.SectionVersionChecked]:
    "A change is refused when its section has changed since the operator read it.",
  [Guard.WholeCheckedTogether]:
    "A change is committed only if the document is still the one that was validated with the change.",
  [Guard.ChangeIdKept]:
    "The id of a change is stored, so that a repeated change is not refused as stale.",
  [Guard.RestartReadsStore]:
    "A new incarnation serves only after it has read the newest document version from the store.",
  [Guard.StandbyWaits]:
    "Standby tokens are used only when no presence update was sent for a set delay.",
  [Guard.StandbyCountsFromSend]:
    "That delay is measured from sending a presence update, whether it was answered or not.",
  [Guard.StandbyNamedInWord]:
    "Each presence update names the standby tokens in use that are not recorded in the store yet.",
  [Guard.StandbyProofInTime]:
    "Standby tokens are released only if the incarnation ended within that delay of its last presence update.",
};
