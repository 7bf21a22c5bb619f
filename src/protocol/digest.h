// Digest of payloads.

#ifndef SRC_PROTOCOL_DIGEST_H_
#define SRC_PROTOCOL_DIGEST_H_

#include <string>
#include <string_view>

namespace peridot {

// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits. Empty
// if OpenSSL fails, which no digest of a peer equals. Thread-safe.
std::string Sha256Hex(std::string_view bytes);

}  // namespace peridot

#endif  // SRC_PROTOCOL_DIGEST_H_
