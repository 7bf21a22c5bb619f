#include "src/state/team_keys.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <bit>

namespace peridot {
namespace {

constexpr std::string_view kKeyPrefix = "pk_";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kKeyIdDigits = 16;

using Bytes32 = std::array<std::uint8_t, 32>;

std::string ToHex(const Bytes32& bytes) {
  std::string text;
  text.reserve(2 * bytes.size());
  for (const std::uint8_t byte : bytes) {
    text.push_back(kHexDigits[byte >> 4U]);
    text.push_back(kHexDigits[byte & 0xFU]);
  }
  return text;
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  return -1;
}

bool FromHex(std::string_view text, Bytes32& bytes) {
  if (text.size() != 2 * bytes.size()) {
    return false;
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const int high = HexValue(text[2 * i]);
    const int low = HexValue(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes[i] = static_cast<std::uint8_t>(16 * high + low);
  }
  return true;
}

// A digest as machine words. A lookup compares the digest with every key, and
// OpenSSL's comparison by bytes takes 15 ns per key, which is too slow for 300
// keys.
using DigestWords = std::array<std::uint64_t, 4>;

DigestWords ToWords(const KeyDigest& digest) {
  static_assert(sizeof(DigestWords) == sizeof(digest.bytes));
  return std::bit_cast<DigestWords>(digest.bytes);
}

// Returns all ones for equal digests, else 0, without a branch.
std::uint64_t EqualMask(const DigestWords& a, const DigestWords& b) {
  std::uint64_t difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= a[i] ^ b[i];
  }
  const std::uint64_t is_different = (difference | (~difference + 1)) >> 63U;
  return is_different - 1;
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return lower;
}

}  // namespace

Result<KeyDigest> KeyDigest::ParseHex(std::string_view text) {
  KeyDigest digest;
  if (!FromHex(ToLower(text), digest.bytes)) {
    return MakeError(ErrorCode::kMalformed, "parse", "key digest",
                     "expected 64 hexadecimal digits");
  }
  return digest;
}

std::string KeyDigest::Hex() const {
  return ToHex(this->bytes);
}

bool operator==(const KeyDigest& a, const KeyDigest& b) {
  return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

KeyDigest DigestKeyText(std::string_view text) {
  KeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.bytes.data());
  return digest;
}

Result<KeySecret> KeySecret::Generate() {
  KeySecret secret;
  const int size = static_cast<int>(secret.bytes.size());
  if (RAND_bytes(secret.bytes.data(), size) != 1) {
    return MakeError(ErrorCode::kUnavailable, "generate", "key",
                     "OpenSSL's random generator returned no bytes");
  }
  return secret;
}

Result<KeySecret> KeySecret::Parse(std::string_view text) {
  KeySecret secret;
  if (!text.starts_with(kKeyPrefix) ||
      !FromHex(text.substr(kKeyPrefix.size()), secret.bytes)) {
    return MakeError(ErrorCode::kMalformed, "parse", "key",
                     "expected pk_ and 64 lower-case hexadecimal digits");
  }
  return secret;
}

KeySecret::~KeySecret() {
  OPENSSL_cleanse(this->bytes.data(), this->bytes.size());
}

std::string KeySecret::RevealText() const {
  return std::string(kKeyPrefix) + ToHex(this->bytes);
}

KeyDigest KeySecret::Digest() const {
  std::string text = this->RevealText();
  const KeyDigest digest = DigestKeyText(text);
  OPENSSL_cleanse(text.data(), text.size());
  return digest;
}

KeyId MakeKeyId(const KeyDigest& digest) {
  std::string id = "k";
  return KeyId(id.append(digest.Hex(), 0, kKeyIdDigits));
}

const TeamKey* FindKeyByDigest(std::span<const TeamKey> keys,
                               const KeyDigest& digest) {
  const DigestWords wanted = ToWords(digest);
  std::uint64_t found = 0;  // index + 1; 0: none
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const std::uint64_t mask = EqualMask(ToWords(keys[i].digest), wanted);
    found = (found & ~mask) | ((i + 1) & mask);
  }
  return found == 0 ? nullptr : &keys[found - 1];
}

}  // namespace peridot
