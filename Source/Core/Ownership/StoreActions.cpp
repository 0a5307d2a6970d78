#include "Ownership/StepOwner.h"

namespace Ownership {

namespace {

using Store::StoreError;

Store::Result<CellView>
ReadView(Store::StorePort& aStore, const Common::CellId& aCell)
{
  CellView view;
  // The key is read first: a key that is gone before the record was read belongs to no later record
  // than this one.
  const auto holder = aStore.read(CellLeaseKey(aCell));
  if (!holder) {
    return tl::unexpected(holder.error());
  }
  if (*holder) {
    view.mHolder = (*holder)->mValue;
  }
  const auto record = aStore.read(CellKey(aCell));
  if (!record) {
    return tl::unexpected(record.error());
  }
  if (*record) {
    view.mRecord = DecodeCell((*record)->mValue);
    view.mVersion = (*record)->mVersion;
    if (!view.mRecord) {
      return tl::unexpected(StoreError::Unavailable);
    }
  }
  return view;
}

struct Runner
{
  Store::StorePort& mStore;
  const Common::CellId& mCell;

  std::optional<Event> operator()(const ReadCell&) { return CellRead{ ReadView(mStore, mCell) }; }
  std::optional<Event> operator()(const GrantLease& aAction)
  {
    return LeaseGranted{ mStore.grantLease(aAction.mTimeToLive) };
  }
  std::optional<Event> operator()(const ClaimKey& aAction)
  {
    return KeyClaimed{ mStore.compareAndSwap(
      CellLeaseKey(mCell), Store::Version(), aAction.mToken, aAction.mLease) };
  }
  std::optional<Event> operator()(const WriteCell& aAction)
  {
    return CellWritten{ mStore.compareAndSwap(
      CellKey(mCell), aAction.mExpected, EncodeCell(aAction.mRecord)) };
  }
  std::optional<Event> operator()(const RenewLease& aAction)
  {
    return LeaseRenewed{ mStore.renewLease(aAction.mLease) };
  }
  std::optional<Event> operator()(const RevokeLease& aAction)
  {
    (void)mStore.revokeLease(aAction.mLease);
    return LeaseRevoked{};
  }
  template<typename Other>
  std::optional<Event> operator()(const Other&)
  {
    return std::nullopt;
  }
};

} // namespace

std::optional<Event>
RunStoreAction(Store::StorePort& aStore, const Common::CellId& aCell, const Action& aAction)
{
  return std::visit(Runner{ aStore, aCell }, aAction);
}

} // namespace Ownership
