#include "src/protocol/digest.h"

#include <openssl/evp.h>

namespace peridot {

std::string Sha256Hex(std::string_view bytes) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  // EVP_sha256() would look up the algorithm again on each call.
  static const EVP_MD* const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  if (EVP_Digest(bytes.data(), bytes.size(), digest, &size, sha256, nullptr) !=
      1) {
    return "";
  }
  std::string hex;
  hex.reserve(2 * static_cast<std::size_t>(size));
  for (unsigned int i = 0; i < size; ++i) {
    hex += kHexDigits[digest[i] >> 4];
    hex += kHexDigits[digest[i] & 0xf];
  }
  return hex;
}

}  // namespace peridot
