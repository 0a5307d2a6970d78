#pragma once

#include "UnitTests/DaemonClients/Crowd.h"
#include "UnitTests/DaemonClients/Fleet.h"

namespace DaemonClients {

enum class Listener
{
  Callers,
  UnknownPath,
  Operators,
  Agent,
};

/// A request whose body has the given size; the path and type are those of the listener.
std::string
RequestWithBody(Listener aListener, const std::string& aBody);

/// The same with a chunked body, with so many bytes in a chunk.
std::string
ChunkedRequest(Listener aListener, const std::string& aBody, std::size_t aChunk);

/// A small request that is answered with a page.
std::string
SmallRequest(Listener aListener);

/// The largest body in bytes that the listener takes.
std::size_t
BodyLimit(Listener aListener);

/// A body of the largest legal size.
std::string
LegalBody(Listener aListener);

/// Sends the crowd to the listener of a new fleet. Then the process must live, its peak of memory
/// and of descriptors must have stayed under what its settings allow, and one ordinary request is
/// answered while the crowd's connections are still open.
void
RequireSurvival(Listener aListener, Plan aPlan);

/// The kinds of misbehaving clients, each as a crowd.
Plan
WholeBodies(Listener aListener);
Plan
BodiesInPieces(Listener aListener);
Plan
ChunkedBodies(Listener aListener);
Plan
AlmostWholeBodies(Listener aListener);
Plan
AlmostWholeChunks(Listener aListener);
Plan
OversizedBodies(Listener aListener);
Plan
ManyHeaderFields(Listener aListener);
Plan
LongTargets(Listener aListener);
Plan
LongPaths(Listener aListener);
Plan
LongRanges(Listener aListener);
Plan
CompressedAnswers(Listener aListener);
Plan
ManyJsonFields(Listener aListener);
Plan
DeepJson(Listener aListener);
/// JSON of two long strings, as an edit of the tables has them, whose text has very many values.
Plan
ManyTableFields();
/// The same with nested values, which the tables' parser takes apart by recursion.
Plan
DeepTables();
Plan
PipelinedUnread(Listener aListener);
Plan
SlowSenders(Listener aListener);
Plan
SlowReaders(Listener aListener);
Plan
StalledHeaders(Listener aListener);
Plan
StalledBodies(Listener aListener);

} // namespace DaemonClients
