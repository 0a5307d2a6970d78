#pragma once

#include <string>
#include <vector>

#include <rapidcheck.h>

#include "Tables/Tables.h"

/// Random tables, requests and broken texts.
namespace TablesTests {

struct Request
{
  std::string mHost;
  std::string mPath;
  std::string mMethod;
  std::vector<Tables::HeaderMatch> mHeaders;
};

/// Valid tables. Hosts, paths, methods and headers come from few values, so that routes overlap.
rc::Gen<Tables::TableSet>
AnyTables();

/// A request that often matches some route of AnyTables.
rc::Gen<Request>
AnyRequest();

/// A piece of TOML: a key, a bracket, a value, a quote, a number or a line end.
rc::Gen<std::string>
TomlPiece();

/// aText with a few bytes or pieces replaced, inserted, removed or repeated.
rc::Gen<std::string>
Mutated(const std::string& aText);

/// aText with the value of one key replaced by a value of any type.
rc::Gen<std::string>
OneValueChanged(const std::string& aText);

} // namespace TablesTests
