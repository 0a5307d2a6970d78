#include "Store/RecordCodec.h"

#include <charconv>

namespace Store {

namespace {

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (aText.empty() || error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

void
RecordWriter::add(std::string_view aField)
{
  mText += std::to_string(aField.size());
  mText += ':';
  mText += aField;
  mText += ',';
}

RecordReader::RecordReader(std::string_view aText, std::string_view aKind)
  : mRest(aText)
{
  mOk = field() == aKind && mOk;
}

std::string
RecordReader::text()
{
  return std::string(field());
}

std::int64_t
RecordReader::number()
{
  const auto value = ParseNumber(field());
  mOk = mOk && value;
  return mOk ? *value : 0;
}

std::string_view
RecordReader::field()
{
  const std::size_t colon = mRest.find(':');
  const auto size =
    colon == std::string_view::npos ? std::nullopt : ParseNumber(mRest.substr(0, colon));
  if (!mOk || !size || *size < 0 || static_cast<std::uint64_t>(*size) >= mRest.size() - colon - 1 ||
      mRest[colon + 1 + static_cast<std::size_t>(*size)] != ',') {
    mOk = false;
    mRest = {};
    return {};
  }
  const std::string_view value = mRest.substr(colon + 1, static_cast<std::size_t>(*size));
  mRest.remove_prefix(colon + 2 + value.size());
  return value;
}

std::size_t
EncodedSize(std::size_t aFieldBytes)
{
  return std::to_string(aFieldBytes).size() + 2 + aFieldBytes;
}

} // namespace Store
