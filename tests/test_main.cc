// Entry point of the unit tests.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#if defined(__SANITIZE_THREAD__)
// libzmq passes memory between its threads through lock-free queues. The thread
// sanitizer does not see their synchronization, because the library is not
// built with it, and reports races between libzmq's malloc and libzmq's free.
// Only library calls made by libzmq itself are suppressed.
// NOLINTNEXTLINE(readability-identifier-naming): name given by the sanitizer
extern "C" const char* __tsan_default_suppressions() {
  return "called_from_lib:libzmq.so\n";
}
#endif
