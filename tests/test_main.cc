// Entry point of the unit tests.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#if defined(__SANITIZE_THREAD__)
// libzmq hands memory between its threads through lock-free queues that the
// thread sanitizer cannot see, because the library is not built with it. Its
// reports have libzmq's malloc on one side and libzmq's free on the other.
// Only library calls made by libzmq itself are left out.
// NOLINTNEXTLINE(readability-identifier-naming): name given by the sanitizer
extern "C" const char* __tsan_default_suppressions() {
  return "called_from_lib:libzmq.so\n";
}
#endif
