// Messages between ibisshedd processes. Regenerate with Tools/generate-thrift.sh.
// Times are durations in microseconds or Unix milliseconds, as the names say; a monotonic time never
// leaves its process.

namespace cpp Rpc.Generated

enum Outcome {
  Ran = 1,
  NotRun = 2,
  Unknown = 3,
}

enum RefusalReason {
  None = 0,
  NoCapacity = 1,
  DeadlineTooClose = 2,
  Leaving = 3,
  WrongIncarnation = 4,
  StaleEpoch = 5,
  NotOwner = 6,
  NoTables = 7,
  UnknownRoute = 8,
  StoreUnavailable = 9,
  Invalid = 10,
  Throttled = 11,
}

struct Header {
  1: string name,
  2: string value,
}

struct TraceContext {
  1: string traceParent,
  2: string traceState,
}

struct LoadReport {
  1: i32 slotsInUse,
  2: i32 slotsLimit,
  3: i32 queued,
  4: i64 latencyP50Micros,
  5: i64 latencyP99Micros,
  6: bool leaving,
  7: i64 revision,
}

struct ExecuteRequest {
  1: string requestId,
  2: i64 targetIncarnation,
  3: string route,
  4: i64 revision,
  5: string client,
  6: i64 remainingMicros,
  7: string method,
  8: string path,
  9: list<Header> headers,
  10: binary body,
  11: TraceContext trace,
  12: string origin,
}

struct ExecuteReply {
  1: Outcome outcome,
  2: RefusalReason reason,
  3: i32 status,
  4: list<Header> headers,
  5: binary body,
  6: LoadReport load,
  7: i64 incarnation,
  8: i64 retryAfterMicros,
  9: string detail,
  // Only for queryOutcome: the request waits or runs.
  10: bool inProgress,
}

enum KeyState {
  Granted = 1,
  InProgress = 2,
  Finished = 3,
  Unknown = 4,
  Refused = 5,
}

struct ClaimKeyRequest {
  1: string client,
  2: string key,
  3: i64 keyTimeUnixMillis,
  4: string requestId,
  5: string fingerprint,
  6: TraceContext trace,
  7: i64 remainingMicros,
}

struct ClaimKeyReply {
  1: KeyState state,
  2: RefusalReason reason,
  3: optional ExecuteReply stored,
  4: i64 epoch,
  5: i64 retryAfterMicros,
  6: string detail,
}

struct SettleKeyRequest {
  1: string client,
  2: string key,
  3: string requestId,
  4: i64 epoch,
  5: ExecuteReply result,
}

struct ResourceAmounts {
  1: i64 milliCores,
  2: i64 memoryBytes,
  3: i64 accelerators,
}

struct JobSpec {
  1: string client,
  2: string team,
  3: string route,
  4: string idempotencyKey,
  5: i32 tasks,
  6: ResourceAmounts perTask,
  7: i64 runTimeMicros,
  8: i64 deadlineUnixMillis,
  9: i32 priority,
  10: string payload,
}

struct SubmitReply {
  1: bool accepted,
  2: string jobId,
  3: RefusalReason reason,
  4: i64 retryAfterMicros,
  5: string detail,
}

struct JobView {
  1: string jobId,
  2: JobSpec spec,
  3: string state,
  4: i32 waiting,
  5: i32 running,
  6: i32 finished,
  7: i32 failed,
  8: i32 cancelled,
  9: string detail,
  10: i64 submittedUnixMillis,
  11: i32 evictions,
  12: i32 unknownEnd,
}

struct TaskStart {
  1: string taskId,
  2: string jobId,
  3: i64 attempt,
  4: string checkpoint,
  5: ResourceAmounts amounts,
  6: i64 runTimeMicros,
  7: string payload,
  8: string route,
  9: string client,
  10: string team,
  11: bool mayRestart,
}

enum TaskActionKind {
  Start = 1,
  Throttle = 2,
  Evict = 3,
  Stop = 4,
  Forget = 5,
  Unthrottle = 6,
}

struct TaskAction {
  1: TaskActionKind kind,
  2: string taskId,
  3: i64 attempt,
  4: optional TaskStart start,
  5: i32 throttlePercent,
}

enum TaskState {
  Starting = 1,
  Running = 2,
  Finished = 3,
  Failed = 4,
  Evicted = 5,
  Stopped = 6,
  Lost = 7,
  Refused = 8,
}

struct TaskReport {
  1: string taskId,
  2: string jobId,
  3: i64 attempt,
  4: TaskState state,
  5: string checkpoint,
  6: i64 coreMicros,
  7: i64 peakMemoryBytes,
  8: i64 ranMicros,
  9: string detail,
  10: ResourceAmounts amounts,
  11: double progressRate,
  12: string route,
  13: string client,
  14: string team,
}

struct EndpointReport {
  1: string endpointId,
  2: string route,
  3: string address,
  4: bool leaving,
  5: i32 slots,
  6: i32 connections,
  7: string pool,
}

struct AgentInfo {
  1: string instance,
  2: i64 incarnation,
  3: string address,
  4: string worker,
  5: string rack,
  6: string dataCentre,
  7: list<string> labels,
}

struct UsageRecord {
  1: string team,
  2: string client,
  3: string route,
  4: i64 microPrice,
  5: i64 count,
  6: i64 slotMicros,
  7: i64 coreMicros,
}

struct CellView {
  1: string cell,
  2: i64 epoch,
  3: string ownerAddress,
  4: string ownerInstance,
}

struct PeerView {
  1: string instance,
  2: string address,
  3: string dataCentre,
  4: string role,
}

struct HeartbeatRequest {
  1: string cell,
  2: i64 epoch,
  3: i64 tenureMicros,
  4: i64 revision,
  5: string revisionHash,
  6: list<TaskAction> actions,
  7: list<string> durableTasks,
  8: string ownerAddress,
  9: bool wantInventory,
  // A few processes of the data centre to exchange revisions with.
  10: list<PeerView> peers,
  // The receiver is the deputy of the owner: it watches the store, too.
  11: bool relay,
  12: list<CellView> cells,
  // The owner asks the agent to finish what it runs and take nothing new.
  13: bool drain,
  // agentClockMicros of an earlier reply. The agent counts tenure from then, so that a heartbeat
  // which is delivered late, as after a pause, grants no more than one in time.
  14: i64 echoMicros,
  15: i64 knownUsageVersion,
  // The agent incarnation that the actions are meant for; another one ignores them.
  16: i64 targetIncarnation,
}

struct HeartbeatReply {
  1: bool accepted,
  2: i64 highestEpoch,
  3: AgentInfo info,
  4: ResourceAmounts free,
  5: ResourceAmounts total,
  6: list<TaskReport> tasks,
  7: list<EndpointReport> endpoints,
  8: LoadReport load,
  9: i64 revision,
  10: list<UsageRecord> usage,
  11: bool leaving,
  12: bool fullInventory,
  // Rises with each change of usage; usage holds running totals and is left out (version 0) if the
  // owner has them.
  13: i64 usageVersion,
  // The agent's own clock when it replied; only the agent itself can read it.
  14: i64 agentClockMicros,
  // Rises with each reply of one incarnation, so that the owner can drop replies that arrive late.
  15: i64 replySequence,
}

struct JoinRequest {
  1: AgentInfo info,
  2: i64 revision,
}

struct JoinReply {
  1: bool accepted,
  2: RefusalReason reason,
  3: string ownerAddress,
  4: i64 retryAfterMicros,
}

struct MemberView {
  1: AgentInfo info,
  2: list<EndpointReport> endpoints,
  3: LoadReport load,
  4: bool suspect,
  5: bool leaving,
  6: i64 revision,
  7: ResourceAmounts free,
  8: ResourceAmounts total,
  9: i32 runningTasks,
  10: bool quarantined,
  11: i64 ageMicros,
  12: string role,
}

struct MembersReply {
  1: CellView cell,
  2: list<MemberView> members,
  3: i64 version,
  4: bool changed,
  // The members are all there are; others that the caller knows are gone.
  5: bool fromStart,
  6: bool more,
  7: list<string> gone,
}

struct GossipMessage {
  1: string instance,
  2: string dataCentre,
  3: i64 revision,
  4: string revisionHash,
  5: list<CellView> cells,
  // Where the sender takes calls, and its role ("entry" or "agent").
  6: string address,
  7: string role,
  8: i64 incarnation,
}

// Replaces the bytes between a kept prefix and a kept suffix.
struct TextDelta {
  1: i64 keptPrefix,
  2: i64 keptSuffix,
  3: binary middle,
}

struct RevisionDelta {
  1: i64 fromRevision,
  2: string fromHash,
  3: i64 toRevision,
  4: string toHash,
  5: TextDelta routes,
  6: TextDelta pools,
}

// Either a chain of deltas from the revision that the caller holds, or the whole texts.
struct RevisionReply {
  1: bool found,
  2: i64 revision,
  3: string hash,
  4: list<RevisionDelta> chain,
  5: bool whole,
  6: binary routes,
  7: binary pools,
}

// Served by every agent and entry; the owner's calls are refused with NotOwner by the others.
service Control {
  ExecuteReply execute(1: ExecuteRequest request),
  ExecuteReply queryOutcome(1: string requestId, 2: i64 targetIncarnation),
  HeartbeatReply heartbeat(1: HeartbeatRequest request),
  GossipMessage gossip(1: GossipMessage message),
  RevisionReply fetchRevision(1: i64 heldRevision, 2: string heldHash),

  // Cell owner
  JoinReply join(1: JoinRequest request),
  ClaimKeyReply claimKey(1: ClaimKeyRequest request),
  bool settleKey(1: SettleKeyRequest request),
  SubmitReply submitJob(1: JobSpec job, 2: TraceContext trace),
  SubmitReply cancelJob(1: string jobId),
  list<JobView> showJobs(1: string jobId, 2: i32 limit),
  // Members whose state changed after knownVersion; one answer is at most maxMembers long.
  MembersReply members(1: i64 knownVersion, 2: string pool, 3: i32 maxMembers),
  list<UsageRecord> usage(),
  bool drain(1: string instance, 2: bool on),
  bool declareLost(1: string cell),
  // The owner of the cell is leaving and has released its lease; the receiver may take the cell.
  bool offerCell(1: string cell),

  // Ended spans of one trace, each as a JSON object.
  list<string> trace(1: string traceId),
}
