// Counts heap allocations of the program that includes this header. Include it
// in exactly one source file: it replaces the global operator new.

#ifndef TESTS_SUPPORT_ALLOCATION_COUNTER_H_
#define TESTS_SUPPORT_ALLOCATION_COUNTER_H_

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

namespace peridot::testing {

// Allocations since the start of the program, by all threads.
inline std::atomic<std::int64_t> allocation_count{0};

}  // namespace peridot::testing

// Not inlined: GCC would report malloc() and free() behind a pair of new and
// delete as mismatched.
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
