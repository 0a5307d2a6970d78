#include <catch2/catch.hpp>

#include "UnitTests/DaemonClients/Survival.h"

using DaemonClients::Listener;
using DaemonClients::RequireSurvival;

// The paths of callers, behind which requests are forwarded: what a request holds counts several
// times.

TEST_CASE("callers: whole bodies at once", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::WholeBodies(Listener::Callers));
}

TEST_CASE("callers: bodies in small pieces", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::BodiesInPieces(Listener::Callers));
}

TEST_CASE("callers: chunked bodies", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::ChunkedBodies(Listener::Callers));
}

TEST_CASE("callers: bodies that stop just short of their end", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::AlmostWholeBodies(Listener::Callers));
}

TEST_CASE("callers: chunked bodies without their last chunk", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::AlmostWholeChunks(Listener::Callers));
}

TEST_CASE("callers: bodies far over the limit", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::OversizedBodies(Listener::Callers));
}

TEST_CASE("callers: very many short header fields", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::ManyHeaderFields(Listener::Callers));
}

TEST_CASE("callers: long targets of very many parameters", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::LongTargets(Listener::Callers));
}

TEST_CASE("callers: pipelined requests with unread answers", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::PipelinedUnread(Listener::Callers));
}

TEST_CASE("callers: slow senders", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::SlowSenders(Listener::Callers));
}

TEST_CASE("callers: slow readers", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::SlowReaders(Listener::Callers));
}

TEST_CASE("callers: headers that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::StalledHeaders(Listener::Callers));
}

TEST_CASE("callers: bodies that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::StalledBodies(Listener::Callers));
}

TEST_CASE("callers: long lists of ranges", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::LongRanges(Listener::Callers));
}

TEST_CASE("callers: long paths", "[DaemonClients]")
{
  RequireSurvival(Listener::Callers, DaemonClients::LongPaths(Listener::Callers));
}
