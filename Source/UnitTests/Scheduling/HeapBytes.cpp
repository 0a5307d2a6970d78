#include "HeapBytes.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::int64_t> gHeapBytes{ 0 };

void*
Allocate(std::size_t aSize) noexcept
{
  void* const block = std::malloc(aSize == 0 ? 1 : aSize);
  if (block != nullptr) {
    gHeapBytes += static_cast<std::int64_t>(malloc_usable_size(block));
  }
  return block;
}

void*
AllocateOrThrow(std::size_t aSize)
{
  void* const block = Allocate(aSize);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  return block;
}

void
Free(void* aBlock) noexcept
{
  if (aBlock != nullptr) {
    gHeapBytes -= static_cast<std::int64_t>(malloc_usable_size(aBlock));
    std::free(aBlock);
  }
}

} // namespace

namespace SchedulingTests {

std::int64_t
HeapBytes()
{
  return gHeapBytes;
}

} // namespace SchedulingTests

// All of them are replaced, so that each block is freed by the counterpart of what allocated it.

void*
operator new(std::size_t aSize)
{
  return AllocateOrThrow(aSize);
}

void*
operator new[](std::size_t aSize)
{
  return AllocateOrThrow(aSize);
}

void*
operator new(std::size_t aSize, const std::nothrow_t& /*aTag*/) noexcept
{
  return Allocate(aSize);
}

void*
operator new[](std::size_t aSize, const std::nothrow_t& /*aTag*/) noexcept
{
  return Allocate(aSize);
}

void
operator delete(void* aBlock) noexcept
{
  Free(aBlock);
}

void
operator delete[](void* aBlock) noexcept
{
  Free(aBlock);
}

void
operator delete(void* aBlock, std::size_t /*aSize*/) noexcept
{
  Free(aBlock);
}

void
operator delete[](void* aBlock, std::size_t /*aSize*/) noexcept
{
  Free(aBlock);
}

void
operator delete(void* aBlock, const std::nothrow_t& /*aTag*/) noexcept
{
  Free(aBlock);
}

void
operator delete[](void* aBlock, const std::nothrow_t& /*aTag*/) noexcept
{
  Free(aBlock);
}
