// Strong types for quantities.
//
// Index:
//   [SECTION] Quantity
//   [SECTION] Units

#ifndef SRC_STATE_UNITS_H_
#define SRC_STATE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Quantity
//-----------------------------------------------------------------------------

// A count with a unit. Quantities of different units cannot be combined.
// Callers must exclude overflow: input is checked against its bounds when it is
// parsed.
template <typename Tag>
struct Quantity {
  std::int64_t value = 0;  // in the unit of Tag

  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t v) : value(v) {}

  constexpr Quantity& operator+=(Quantity other) {
    this->value += other.value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    this->value -= other.value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  friend constexpr auto operator<=>(Quantity, Quantity) = default;
  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend std::ostream& operator<<(std::ostream& out, Quantity q) {
    return out << q.value;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] Units
//-----------------------------------------------------------------------------

using PermitCount = Quantity<struct PermitUnit>;  // running tasks
using SlotCount = Quantity<struct SlotUnit>;      // endpoint slots
using HostCount = Quantity<struct HostUnit>;
using Share = Quantity<struct ShareUnit>;           // weight, no unit
using MilliCores = Quantity<struct MilliCoreUnit>;  // 1/1000 of a core
using Bytes = Quantity<struct ByteUnit>;
using Accelerators = Quantity<struct AcceleratorUnit>;  // devices

}  // namespace peridot

#endif  // SRC_STATE_UNITS_H_
