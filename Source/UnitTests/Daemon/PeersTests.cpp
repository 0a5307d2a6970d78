#include <set>

#include <catch2/catch.hpp>

#include "Daemon/Peers.h"

namespace {

Rpc::Generated::CellView
Cell(int aNumber, std::int64_t aEpoch)
{
  Rpc::Generated::CellView view;
  view.cell = "c" + std::to_string(aNumber);
  view.epoch = aEpoch;
  view.ownerAddress = "127.0.0.1:" + std::to_string(1000 + aNumber);
  return view;
}

} // namespace

TEST_CASE("A message names a few cells, changed ones first", "[Daemon]")
{
  // With all cells of a region in each heartbeat and digest, a node used 17 KB/s of the 6 KB/s that
  // it has for control.
  Daemon::CellBook book;
  Common::Random random(1);
  for (int i = 0; i < 38; ++i) {
    book.note(Cell(i, 1));
  }
  for (int i = 0; i < 500; ++i) {
    REQUIRE(book.news(4, random).size() <= 4);
  }

  SECTION("a takeover is in the next messages")
  {
    book.note(Cell(17, 2));
    const auto cells = book.news(4, random);
    REQUIRE(cells.front().cell == "c17");
    REQUIRE(cells.front().epoch == 2);
  }
  SECTION("an earlier epoch changes nothing")
  {
    book.note(Cell(17, 0));
    REQUIRE(book.find("c17")->epoch == 1);
  }
  SECTION("over time each cell is named, so that a process that missed a change hears of it")
  {
    std::set<std::string> named;
    for (int i = 0; i < 200; ++i) {
      for (const auto& cell : book.news(4, random)) {
        named.insert(cell.cell);
      }
    }
    REQUIRE(named.size() == 38);
  }
}
