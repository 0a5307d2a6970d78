#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Text form of the records in the store: a kind with a version, then fields as "LENGTH:BYTES,".
/// It holds any bytes and can be read with plain tools.
namespace Store {

class RecordWriter
{
public:
  /// aKind names the record and its version, for example "segment1".
  explicit RecordWriter(std::string_view aKind) { add(aKind); }

  void add(std::string_view aField);
  void add(std::int64_t aNumber) { add(std::string_view(std::to_string(aNumber))); }
  std::string take() { return std::move(mText); }

private:
  std::string mText;
};

/// Reads the fields in the order in which they were added. After a mistake every further field is
/// empty and ok() is false.
class RecordReader
{
public:
  RecordReader(std::string_view aText, std::string_view aKind);

  std::string text();
  std::int64_t number();
  bool ok() const { return mOk; }
  bool atEnd() const { return mRest.empty(); }
  /// True if nothing was wrong and nothing is left.
  bool finished() const { return mOk && mRest.empty(); }

private:
  std::string_view field();

  std::string_view mRest;
  bool mOk = true;
};

/// Bytes that a field of this size takes in a record.
std::size_t
EncodedSize(std::size_t aFieldBytes);

} // namespace Store
