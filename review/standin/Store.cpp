#include "Store.h"

namespace Review {

using nlohmann::json;

namespace {

/// Time that the store takes for one answer, from the site files.
constexpr Millis kAnswerTime{ 4 };
constexpr std::size_t kPageItems = 500;
constexpr const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = (bits << 8U) | (i + k < aBytes.size() ? static_cast<unsigned char>(aBytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > aBytes.size() ? '=' : kDigits[(bits >> (18U - 6U * k)) & 63U];
    }
  }
  return text;
}

std::string
DecodeBase64(const std::string& aText)
{
  const std::string digits(kDigits);
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char digit : aText) {
    const std::size_t value = digits.find(digit);
    if (value == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return bytes;
}

Store::Store(int aPort, Record& aRecord)
  : mRecord(aRecord)
  , mServer(aPort, [this](const Request& aRequest) { return handle(aRequest); })
{
  mLeaseThread = std::thread([this] {
    while (!mStopping) {
      std::this_thread::sleep_for(Millis(10));
      const std::lock_guard lock(mMutex);
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : mLeases) {
        if (lease.mEnd <= Clock::now()) {
          ended.push_back(id);
        }
      }
      for (const std::int64_t id : ended) {
        endLease(id);
      }
    }
  });
}

Store::~Store()
{
  mStopping = true;
  mChanged.notify_all();
  mLeaseThread.join();
  mServer.crash();
}

std::int64_t
Store::put(const std::string& aKey, const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  ++mRevision;
  putItem(aKey, EncodeBase64(aText), 0);
  mChanged.notify_all();
  return mRevision;
}

std::string
Store::text(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? std::string() : DecodeBase64(found->second.mValue);
}

json
Store::describe(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.mValue },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

void
Store::putItem(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
{
  Item& item = mItems[aKey];
  item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
  item.mValue = aValue;
  item.mRevision = mRevision;
  item.mLease = aLease;
  mEvents.emplace_back(mRevision, describe(aKey, item));
}

void
Store::eraseItem(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    mEvents.emplace_back(
      mRevision, json{ { "key", aKey }, { "revision", mRevision }, { "tombstone", true } });
  }
}

void
Store::endLease(std::int64_t aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++mRevision;
  for (const std::string& key : keys) {
    eraseItem(key);
  }
  mChanged.notify_all();
}

Reply
Store::transact(const json& aBody)
{
  const std::lock_guard lock(mMutex);
  json actual = json::array();
  bool holds = true;
  for (const json& row : aBody.value("expected_rev", json::array())) {
    const auto found = mItems.find(row.at("key").get<std::string>());
    const std::int64_t revision = found == mItems.end() ? 0 : found->second.mRevision;
    holds = holds && revision == row.at("revision").get<std::int64_t>();
    if (found != mItems.end()) {
      actual.push_back(describe(found->first, found->second));
    }
  }
  if (!holds) {
    return { 412, json{ { "items", actual } }.dump() };
  }
  for (const json& row : aBody.value("put", json::array())) {
    const std::string key = row.at("key").get<std::string>();
    if (key.compare(0, 3, "op/") == 0 || key.compare(0, 8, "servers/") == 0) {
      return { 403, "{}" };
    }
    if (row.value("lease", std::int64_t{ 0 }) != 0 &&
        mLeases.count(row.at("lease").get<std::int64_t>()) == 0) {
      return { 404, "{}" };
    }
  }
  ++mRevision;
  for (const json& row : aBody.value("put", json::array())) {
    putItem(row.at("key").get<std::string>(),
            row.at("value").get<std::string>(),
            row.value("lease", std::int64_t{ 0 }));
  }
  for (const json& key : aBody.value("delete", json::array())) {
    eraseItem(key.get<std::string>());
  }
  mChanged.notify_all();
  return { 200, json{ { "revision", mRevision } }.dump() };
}

Reply
Store::watch(const Request& aRequest)
{
  const std::string prefix = aRequest.query("prefix");
  const std::int64_t after = std::atoll(aRequest.query("after").c_str());
  const auto end = Clock::now() + Millis(std::atoll(aRequest.query("wait_ms").c_str()));
  std::unique_lock lock(mMutex);
  while (true) {
    json events = json::array();
    for (auto event = mEvents.rbegin(); event != mEvents.rend() && event->first > after; ++event) {
      if (event->second.at("key").get<std::string>().compare(0, prefix.size(), prefix) == 0) {
        events.insert(events.begin(), event->second);
      }
    }
    if (!events.empty() || Clock::now() >= end || mStopping) {
      return { 200, json{ { "events", events }, { "store_revision", mRevision } }.dump() };
    }
    mChanged.wait_until(lock, end);
  }
}

std::optional<Reply>
Store::handle(const Request& aRequest)
{
  std::this_thread::sleep_for(kAnswerTime);
  const std::string path = aRequest.path();
  if (path == "/-/kv-watch") {
    return watch(aRequest);
  }
  if (path == "/-/kv-txn") {
    return transact(json::parse(aRequest.mBody));
  }
  const std::lock_guard lock(mMutex);
  if (path == "/-/kv-key") {
    const auto found = mItems.find(aRequest.query("key"));
    if (found == mItems.end()) {
      return Reply{ 404, json{ { "store_revision", mRevision } }.dump() };
    }
    json body = describe(found->first, found->second);
    body["store_revision"] = mRevision;
    return Reply{ 200, body.dump() };
  }
  if (path == "/-/kv-range") {
    const std::string prefix = aRequest.query("prefix");
    json items = json::array();
    bool hasMore = false;
    for (auto item = mItems.upper_bound(aRequest.query("after")); item != mItems.end(); ++item) {
      if (item->first.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      if (items.size() == kPageItems) {
        hasMore = true;
        break;
      }
      items.push_back(describe(item->first, item->second));
    }
    return Reply{
      200,
      json{ { "items", items }, { "has_more", hasMore }, { "store_revision", mRevision } }.dump()
    };
  }
  if (path == "/-/kv-lease") {
    const Millis timeToLive(json::parse(aRequest.mBody).at("ttl_ms").get<std::int64_t>());
    const std::int64_t id = mNextLease++;
    mLeases[id] = { timeToLive, Clock::now() + timeToLive };
    return Reply{ 200, json{ { "lease", id }, { "ttl_ms", timeToLive.count() } }.dump() };
  }
  const std::int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
  const auto lease = mLeases.find(id);
  if (lease == mLeases.end()) {
    return Reply{ 404, "{}" };
  }
  if (path.compare(0, 11, "/-/kv-keep/") == 0) {
    lease->second.mEnd = Clock::now() + lease->second.mTimeToLive;
    return Reply{ 200, json{ { "ttl_ms", lease->second.mTimeToLive.count() } }.dump() };
  }
  endLease(id);
  return Reply{ 200, "{}" };
}

} // namespace Review
