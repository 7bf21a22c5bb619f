// Exit codes of peridotctl.
//
// Index:
//   [SECTION] Exit codes
//
// docs/operations/peridotctl.md documents them; scripts rely on the numbers.

#ifndef SRC_CTL_EXIT_CODE_H_
#define SRC_CTL_EXIT_CODE_H_

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Exit codes
//-----------------------------------------------------------------------------

enum class ExitCode {
  kDone = 0,         // took effect; a settings change is in force
  kUsage = 1,        // wrong arguments or file; nothing was sent
  kRefused = 2,      // refused, and surely not run
  kConflict = 3,     // another operator's change came first
  kUnreachable = 4,  // no server took the request; surely not run
  kUnknown = 5,      // the request may or may not have taken effect
  kNotInForce = 6,   // accepted, but not yet in force everywhere
  kFailed = 7,       // the task ran and failed
};

}  // namespace peridot::ctl

#endif  // SRC_CTL_EXIT_CODE_H_
