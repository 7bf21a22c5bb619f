// Counts the heap allocations of a program. Include this header in exactly one
// source file of the program: it replaces the global operator new. Thread-safe.

#ifndef TESTS_SUPPORT_ALLOCATION_COUNTER_H_
#define TESTS_SUPPORT_ALLOCATION_COUNTER_H_

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

namespace peridot::testing {

// Allocations by all threads since the program started.
inline std::atomic<std::int64_t> allocation_count{0};

}  // namespace peridot::testing

// Not inlined: GCC would otherwise see malloc() and free() behind a pair of new
// and delete and warn that they do not match.
[[gnu::noinline]] void* operator new(std::size_t size) {
  peridot::testing::allocation_count.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

#endif  // TESTS_SUPPORT_ALLOCATION_COUNTER_H_
