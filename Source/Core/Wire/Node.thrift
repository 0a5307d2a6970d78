// Records in the platform's store and messages between the ibisshedd processes that use it.
// Monotonic times are only echoed to the process that sent them, because the clocks of two processes cannot be compared.
// Regenerate the code with Tools/generate-thrift.sh.

namespace cpp Wire

struct TaskName {
  1: string job,
  2: i32 occurrence,
  3: i32 step,
  4: i32 index,
}

struct StepSpec {
  1: i32 tasks,
  2: i64 milliCores,
  3: i64 memoryMb,
  4: i32 accelerators,
  5: i64 estimateMs,
  6: list<i32> after,
  7: bool checkpoints,
  8: bool gang,
  9: bool sameRack,
  10: string label,
  11: string dataRack,
  12: i32 maxPerWorker,
  13: bool speculative,
  14: bool lasting,
  15: string image,
  16: i64 tailTargetMs,
  17: bool fills,
  18: i32 mayMiss,
}

// Written once, by the entry that accepted the job.
struct JobRecord {
  1: string job,
  2: string queue,
  3: string payload,
  4: list<StepSpec> steps,
  5: i32 repeats,
  6: i64 firstRunUnixMs,
  7: i64 intervalMs,
  8: i64 acceptedUnixMs,
  9: string entry,
  // The queue in the tables of the entry that accepted the job. Earlier versions wrote none, so that
  // the pool is empty.
  10: string pool,
  11: i32 priority,
  12: i32 maxAttempts,
  13: double stretchFactor,
  14: i64 slackMs,
  // The advice times hold only if starts need a ticket.
  15: bool needsTicket,
  16: i64 adviceDecisionMicros,
  17: i64 adviceMicrosPerWorker,
  18: i64 ticketLifetimeMicros,
}

struct CancelRecord {
  1: i64 cancelledUnixMs,
  2: string entry,
}

// A worker crashed shortly after it started the run.
struct Crash {
  1: i32 run,
  2: string instance,
  // Nothing else can have been the cause.
  3: bool conclusive,
}

struct TaskProgress {
  1: i32 index,
  2: bool done,
  3: list<i32> failedRuns,
  4: string checkpoint,
  5: list<Crash> crashes,
  // Crashes of runs up to this one no longer count.
  6: i32 clearedRun,
}

struct StepProgress {
  1: i32 occurrence,
  2: i32 step,
  3: bool done,
  4: list<TaskProgress> tasks,
}

// Both ends are included.
struct OccurrenceRange {
  1: i32 first,
  2: i32 last,
}

// Written by the coordinator. Tasks that are not listed have neither ended nor failed.
struct ProgressRecord {
  // Numeric value of the Scheduling::JobState.
  1: i32 state,
  // Earlier versions list the steps of ended occurrences here, too.
  2: list<StepProgress> steps,
  3: i64 endedUnixMs,
  4: list<OccurrenceRange> endedOccurrences,
}

struct CoordinatorRecord {
  1: i64 term,
  2: string instance,
  3: string address,
  4: i64 nonce,
  // Set in the record of the term by a coordinator that resigns: for how long coordinators before
  // it may still act. It no longer acts itself.
  5: optional i64 othersActMicros,
  // The process that was coordinator before and has not resigned; the nonce is 0 if there is none.
  6: string predecessor,
  7: i64 predecessorNonce,
  // Set in a claim: upper bound of the time, from the write on, for which coordinators before the
  // writer may still act.
  8: optional i64 earlierActMicros,
}

// Value of the key that is rewritten with all progress and worker records.
struct RecordsStamp {
  1: i64 term,
  // As CoordinatorRecord.earlierActMicros. It decreases to 0 during a term.
  2: i64 earlierActMicros,
}

struct RunningTask {
  1: TaskName task,
  2: i32 run,
  3: string checkpoint,
  4: i32 percent,
  // Tail latency in milliseconds for a task with a tail-latency target, otherwise processor use in
  // millicores.
  5: i64 usage,
  // The run is so young that it would be a suspect if the worker crashed now.
  6: bool fresh,
}

struct EndedTask {
  1: i64 number,
  2: TaskName task,
  3: i32 run,
  // Numeric value of the Scheduling::EndKind.
  4: i32 how,
  5: string checkpoint,
}

struct WorkerView {
  1: string worker,
  2: i64 born,
  3: string pool,
  4: string rack,
  5: list<string> labels,
  6: i64 milliCores,
  7: i64 memoryMb,
  8: i32 accelerators,
  9: bool leaving,
  10: i64 remainingMs,
  // False if the last call to the worker got no answer; the lists are then those of the last answer.
  11: bool responding,
  // True once the worker has sent its lists of running and ended tasks in this lifetime.
  12: bool listed,
  13: list<RunningTask> running,
  14: list<EndedTask> ended,
  15: string address,
  // Upper bound of the time until the worker's lease ends, as the agent knows it.
  16: i64 leaseLeftMs,
  // Increases with each answered poll, so that the coordinator can tell new lists from old ones.
  17: i64 listNumber,
  // The worker may have more ended tasks than it lists.
  18: bool endedCut,
  // The pool, labels and capacity are those of an earlier lifetime of the worker.
  19: bool awaitsHeartbeat,
  // How much longer the worker runs tasks more slowly; 0 if it is warm.
  20: i64 coldLeftMs,
}

// A run that started shortly before its worker crashed.
struct Suspect {
  1: TaskName task,
  2: i32 run,
}

struct Life {
  1: string worker,
  2: i64 born,
  // Empty if the worker left by plan.
  3: list<Suspect> suspects,
  // A start without an answer may have been carried out late and be the cause.
  4: bool lateStart,
  5: bool leftByPlan,
}

// A worker that may run tasks. The lists of running and ended tasks in the view are empty. The record
// is removed only after all tasks of the worker have ended.
struct WorkerRecord {
  1: WorkerView view,
  2: string instance,
  3: string dataCentre,
  // Set by a coordinator that has lost the worker's agent, to its term: neither it nor an earlier one
  // extends the worker's lease before the record is in the store without it.
  4: optional i64 suspendedTerm,
}

struct PairModel {
  1: string neighbour,
  2: string image,
  3: double pressure,
}

struct ImageModel {
  1: string image,
  2: double value,
}

struct RunTimeModel {
  1: string queue,
  2: string image,
  3: double ratio,
  4: i32 samples,
}

// The run times and interference between tasks that a coordinator has learned; the next coordinator
// starts with them.
struct ModelRecord {
  1: list<PairModel> pairs,
  2: list<ImageModel> unloaded,
  3: list<ImageModel> neighbours,
  4: list<RunTimeModel> runTimes,
}

struct OrderResult {
  1: i64 number,
  // Numeric value of the Scheduling::OrderResult.
  2: i32 result,
  // The start was refused because the agent's data centre is evacuated.
  3: bool evacuated,
}

// Asks which of the workers may run the step; the index of the task is 0.
struct Question {
  1: i64 number,
  2: TaskName step,
  3: list<string> workers,
  4: i64 timeoutMs,
}

struct Grant {
  1: string worker,
  2: string ticket,
}

struct AdviceAnswer {
  1: i64 number,
  // False if the service did not answer the agent.
  2: bool answered,
  3: list<Grant> grants,
  // Lifetime of the tickets; 0 if the answer does not contain it.
  4: i64 validMs,
}

struct Report {
  1: i64 agentMicros,
  2: string instance,
  3: string dataCentre,
  4: list<WorkerView> workers,
  5: list<OrderResult> results,
  6: list<Life> endedLives,
  7: i64 term,
  8: list<AdviceAnswer> advice,
  // The agent keeps the payloads of the jobs whose tasks it was ordered to start.
  9: bool keepsPayloads,
}

struct Order {
  1: i64 number,
  // Numeric value of the Scheduling::OrderKind.
  2: i32 kind,
  3: string worker,
  4: i64 born,
  5: TaskName task,
  6: i32 run,
  7: string payload,
  8: string checkpoint,
  9: i32 percent,
  10: string ticket,
  // Sent before without a result, perhaps to an earlier process of the agent.
  11: bool repeated,
  // The payload was sent with an earlier start of the job over this connection and is empty here.
  12: bool payloadKept,
  // A report is due as soon as the run is not fresh any more.
  13: bool trial,
}

struct WorkerAck {
  1: string worker,
  2: i64 born,
  3: i64 number,
}

struct Directive {
  1: i64 term,
  // agentMicros of the last report; 0 before the first one. Leases may last until that time plus
  // holdMicros.
  2: i64 echoMicros,
  3: i64 holdMicros,
  4: list<Order> orders,
  5: list<WorkerAck> acks,
  // Sent to an agent that has just started: the workers that it served before, so that it need not
  // wait for their announcements.
  6: list<WorkerView> known,
  7: list<Question> questions,
  // The coordinator reads compressed messages.
  8: bool acceptsCompression,
  // The agent's data centre is evacuated as of evacuationVersion, a version of the store. Without
  // the version the coordinator does not know.
  9: bool evacuated,
  10: optional i64 evacuationVersion,
}

// Number 0 is sent regularly as the keep-alive of the entry and asks for no status.
struct StatusQuery {
  1: i64 number,
  2: string job,
  3: string queue,
  // The entry can become the coordinator.
  4: bool candidate,
  5: string instance,
}

struct StatusReply {
  1: i64 number,
  2: bool known,
  // Numeric value of the Scheduling::JobState.
  3: i32 state,
  4: i64 pending,
}

struct StoreVersion {
  1: string key,
  2: i64 version,
}

struct StorePut {
  1: string key,
  2: binary value,
}

// A conditional write for an entry whose calls the store rejects; the coordinator's process carries it
// out.
struct RelayedWrite {
  1: i64 number,
  2: list<StoreVersion> expected,
  3: list<StorePut> puts,
}

struct RelayedResult {
  1: i64 number,
  2: bool written,
  // Version of the write.
  3: i64 version,
  // Numeric value of the Store::StoreError if it was not written.
  4: i32 error,
  // After a conflict: those entries of expected that exist, with their current versions.
  5: list<StoreVersion> actual,
}

// Exactly one field is set.
struct Message {
  1: optional Report report,
  2: optional Directive directive,
  3: optional StatusQuery statusQuery,
  4: optional StatusReply statusReply,
  5: optional RelayedWrite relayedWrite,
  6: optional RelayedResult relayedResult,
}
