#include <memory>
#include <string>

#include <Ibisshed_types.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Bench/Measure.h"

namespace Bench {

namespace {

namespace Wire = Rpc::Generated;

// TCP and IP headers and the acknowledgement of one message, and the RPC envelope with its frame
// length.
constexpr std::size_t kHeaderBytes = 120;
constexpr double kByteTarget = 6000;

// At the two-year size: 28,000 workers, 709,000 running tasks, 21,000 starts a second, 150 cells in
// 4 regions.
constexpr double kWorkers = 28000;
constexpr double kStartsPerSecond = 21000;
constexpr int kTasksPerWorker = 26;
constexpr int kCellsPerMessage = 4;
constexpr int kWorkersPerCell = 187;

template<typename Message>
double
WireBytes(const Message& aMessage)
{
  const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(buffer);
  aMessage.write(&protocol);
  return static_cast<double>(buffer->available_read() + kHeaderBytes);
}

Wire::AgentInfo
Agent()
{
  Wire::AgentInfo info;
  info.instance = "agent-dc07-r12-w3041";
  info.incarnation = 1796354267123456;
  info.address = "10.117.203.41:7012";
  info.worker = "worker-dc07-r12-w3041";
  info.rack = "dc07-r12";
  info.dataCentre = "dc07";
  info.labels = { "accelerator", "large-memory" };
  return info;
}

Wire::TaskReport
Report()
{
  Wire::TaskReport report;
  report.taskId = "dc07-c4/18233/741";
  report.jobId = "dc07-c4/18233";
  report.attempt = 1;
  report.state = Wire::TaskState::Finished;
  report.route = "batch-analytics";
  report.client = "client-dc0741";
  report.team = "team-07";
  return report;
}

Wire::TaskAction
Start()
{
  Wire::TaskStart start;
  start.taskId = "dc07-c4/18233/741";
  start.jobId = "dc07-c4/18233";
  start.payload = std::string(200, 'x');
  start.route = "batch-analytics";
  start.client = "client-dc0741";
  start.team = "team-07";
  Wire::TaskAction action;
  action.kind = Wire::TaskActionKind::Start;
  action.taskId = start.taskId;
  action.__set_start(start);
  return action;
}

Wire::HeartbeatRequest
Request()
{
  Wire::HeartbeatRequest request;
  request.cell = "dc07-c4";
  request.revisionHash = "0123456789abcdef";
  request.ownerAddress = "10.117.203.88:7012";
  for (int i = 0; i < 3; ++i) {
    Wire::PeerView peer;
    peer.instance = Agent().instance;
    peer.address = Agent().address;
    peer.dataCentre = "dc07";
    peer.role = "agent";
    request.peers.push_back(peer);
  }
  return request;
}

Wire::CellView
Cell()
{
  Wire::CellView view;
  view.cell = "dc07-c4";
  view.ownerAddress = "10.117.203.88:7012";
  view.ownerInstance = Agent().instance;
  return view;
}

Wire::HeartbeatReply
Reply()
{
  Wire::HeartbeatReply reply;
  reply.info = Agent();
  Wire::EndpointReport endpoint;
  endpoint.endpointId = "front1-3041";
  endpoint.address = "10.117.203.41:8080";
  endpoint.pool = "front1";
  reply.endpoints = { endpoint };
  return reply;
}

Wire::GossipMessage
Digest()
{
  Wire::GossipMessage digest;
  digest.instance = Agent().instance;
  digest.dataCentre = "dc07";
  digest.revisionHash = "0123456789abcdef";
  digest.address = Agent().address;
  digest.role = "agent";
  digest.cells = { Cell() };
  return digest;
}

Measures
RunControl()
{
  const Wire::HeartbeatRequest request = Request();
  const Wire::HeartbeatReply reply = Reply();
  Wire::HeartbeatRequest withCells = request;
  withCells.cells.assign(kCellsPerMessage, Cell());
  Wire::HeartbeatReply full = reply;
  full.tasks.assign(kTasksPerWorker, Report());

  const double beat = WireBytes(request) + WireBytes(reply);
  const double cells = WireBytes(withCells) - WireBytes(request);
  // A task costs one start command and three reports (starting, running, finished) and their
  // answer.
  const double perTask = WireBytes(Start()) + 4 * WireBytes(Report()) - 5.0 * kHeaderBytes;
  const double tasks = perTask * kStartsPerSecond / kWorkers;
  return {
    { "control: heartbeat and reply without news", "B", beat },
    { "control: one digest", "B", WireBytes(Digest()) },
    { "control: one task from start to end", "B", perTask },
    { "control: full inventory of 26 tasks", "B", WireBytes(full) },
    { "control: heartbeats of an agent at the two-year size",
      "B/s",
      beat + cells + tasks,
      kByteTarget,
      Bound::AtMost,
      1.0 },
    { "control: heartbeats of an agent that owns a cell of 187, in and out",
      "B/s",
      kWorkersPerCell * (beat + cells + tasks),
      kByteTarget },
  };
}

const Registration kControl{ "control", RunControl };

} // namespace

} // namespace Bench
