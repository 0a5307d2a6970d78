#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/Findings.h"
#include "Toml/Document.h"

namespace Toml {

/// Both ends belong to the range.
struct IntegerRange
{
  std::int64_t mMin = 0;
  std::int64_t mMax = std::numeric_limits<std::int64_t>::max();
};

/// Reads typed keys of one table and collects what is wrong with them. The keys that were asked for
/// are the known ones: finish() reports all others. Each method returns nothing if the key is
/// absent or wrong, and adds a finding if it is wrong.
class TableReader
{
public:
  /// aWhat names the table in messages, for example "route \"quotes\"". aTable must be a table and
  /// outlive the reader, as must aFindings.
  TableReader(const Value& aTable,
              std::string aFile,
              std::string aWhat,
              Common::Findings& aFindings);

  std::optional<std::string> text(const std::string& aKey);
  std::optional<bool> boolean(const std::string& aKey);
  std::optional<std::int64_t> integer(const std::string& aKey, IntegerRange aRange);
  std::optional<std::vector<std::string>> textList(const std::string& aKey);
  /// The index of the text in aChoices.
  std::optional<std::size_t> choice(const std::string& aKey,
                                    const std::vector<std::string>& aChoices);
  /// A table under aKey, or null.
  const Value* table(const std::string& aKey);
  /// The items of an array of tables; empty if absent.
  std::vector<const Value*> tables(const std::string& aKey);

  bool has(const std::string& aKey) const;
  /// Place of the value of aKey, or of the table if the key is absent.
  Common::Place place(const std::string& aKey) const;
  Common::Place place() const;
  void error(const std::string& aKey, std::string aMessage);
  void missing(const std::string& aKey);
  /// Refuses aKey if it is present, because of aReason.
  void refuse(const std::string& aKey, const std::string& aReason);
  /// Names the table from now on, once its name is known.
  void rename(std::string aWhat) { mWhat = std::move(aWhat); }
  const std::string& what() const { return mWhat; }

  /// Reports the keys that were not asked for.
  void finish();

private:
  const Member* find(const std::string& aKey) const;
  const Value* ask(const std::string& aKey);

  const Value& mTable;
  std::string mFile;
  std::string mWhat;
  Common::Findings& mFindings;
  std::vector<std::string> mKnown;
};

} // namespace Toml
