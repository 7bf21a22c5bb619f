// Keys of teams.
//
// Index:
//   [SECTION] Digest
//   [SECTION] Secret
//   [SECTION] Key
//   [SECTION] Lookup
//
// A key is 256 random bits. Its text form, which callers send, is "pk_" and 64
// lower-case hexadecimal digits. Only the SHA-256 digest of the text form is
// stored, so `printf %s "$KEY" | sha256sum` gives the digest of a key.
//
// Every type is a value. Const access from several threads is safe.

#ifndef SRC_STATE_TEAM_KEYS_H_
#define SRC_STATE_TEAM_KEYS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "src/state/error.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Digest
//-----------------------------------------------------------------------------

// SHA-256 digest of a key's text form. Comparison takes constant time.
struct KeyDigest {
  std::array<std::uint8_t, 32> bytes{};

  // Parses 64 hexadecimal digits of either case.
  static Result<KeyDigest> ParseHex(std::string_view text);
  // Returns 64 lower-case hexadecimal digits.
  std::string Hex() const;

  friend bool operator==(const KeyDigest& a, const KeyDigest& b);
};

// Computes the digest of a key as sent by a caller. Any bytes are allowed; the
// digest of a text that is no key matches no stored key.
KeyDigest DigestKeyText(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Secret
//-----------------------------------------------------------------------------

// A key's secret. It has no stream operator, so that it cannot be logged, and
// its destructor clears the memory.
class KeySecret {
 public:
  // Generates a new key with OpenSSL's random generator. Fails with
  // kUnavailable if the generator has no entropy.
  static Result<KeySecret> Generate();
  // Parses the text form. Fails with kMalformed; the message does not quote the
  // text.
  static Result<KeySecret> Parse(std::string_view text);

  KeySecret(const KeySecret&) = default;
  KeySecret(KeySecret&&) = default;
  KeySecret& operator=(const KeySecret&) = default;
  KeySecret& operator=(KeySecret&&) = default;
  ~KeySecret();

  // The text form, for the answer to the operator and the header of a request.
  std::string RevealText() const;
  KeyDigest Digest() const;

 private:
  KeySecret() = default;

  std::array<std::uint8_t, 32> bytes{};
};

//-----------------------------------------------------------------------------
// [SECTION] Key
//-----------------------------------------------------------------------------

// Team of the operators' keys. Settings cannot declare a team of this name.
inline constexpr std::string_view kAdminTeam = "_admin";

// A key that belongs to one team, without its secret.
struct TeamKey {
  KeyId id;
  TeamId team;  // kAdminTeam for operators
  KeyDigest digest;

  bool IsAdmin() const { return this->team.value == kAdminTeam; }

  friend bool operator==(const TeamKey&, const TeamKey&) = default;
};

// Returns "k" and the first 16 digits of the digest. The id does not help to
// find the secret, which has 256 bits.
KeyId MakeKeyId(const KeyDigest& digest);

//-----------------------------------------------------------------------------
// [SECTION] Lookup
//-----------------------------------------------------------------------------

// Returns the key with this digest, or null. The run time depends only on the
// number of keys, not on which one matches. Does not allocate.
const TeamKey* FindKeyByDigest(std::span<const TeamKey> keys,
                               const KeyDigest& digest);

}  // namespace peridot

#endif  // SRC_STATE_TEAM_KEYS_H_
