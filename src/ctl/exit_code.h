// Exit codes of peridotctl.
//
// Index:
//   [SECTION] Exit codes
//
// The numbers are a stable interface for scripts and are documented in
// docs/operations/peridotctl.md.

#ifndef SRC_CTL_EXIT_CODE_H_
#define SRC_CTL_EXIT_CODE_H_

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Exit codes
//-----------------------------------------------------------------------------

enum class ExitCode {
  kDone = 0,         // took effect; a settings change is in force everywhere
  kUsage = 1,        // invalid arguments or file; no change was sent
  kRefused = 2,      // refused, and certainly not executed
  kConflict = 3,     // another operator changed the settings first
  kUnreachable = 4,  // no server accepted the request, or a read failed
  kUnknown = 5,      // the request may or may not have taken effect
  kNotInForce = 6,   // change accepted, but not yet in force everywhere
  kFailed = 7,       // the task ran and failed

  // Codes of `settings check`, which also returns kDone.
  kFindings = 1,    // there are findings
  kNotChecked = 2,  // no check: invalid arguments, file, or no server
};

}  // namespace peridot::ctl

#endif  // SRC_CTL_EXIT_CODE_H_
