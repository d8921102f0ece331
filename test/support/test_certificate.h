// Self-signed certificate for 127.0.0.1, generated in memory. Expires after one hour.
#pragma once

#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include <array>
#include <ctime>
#include <string>

namespace mangoquay::test {

struct test_certificate {
    std::string m_certificate_pem;
    std::string m_key_pem;
};

inline test_certificate make_test_certificate() {
    gnutls_x509_privkey_t key = nullptr;
    gnutls_x509_crt_t certificate = nullptr;
    gnutls_x509_privkey_init(&key);
    gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1), 0);
    gnutls_x509_crt_init(&certificate);
    gnutls_x509_crt_set_version(certificate, 3);
    gnutls_x509_crt_set_serial(certificate, "\x01", 1);
    gnutls_x509_crt_set_activation_time(certificate, time(nullptr) - 3600);
    gnutls_x509_crt_set_expiration_time(certificate, time(nullptr) + 3600);
    gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0, "127.0.0.1", 9);
    const std::array<char, 4> address{127, 0, 0, 1};
    gnutls_x509_crt_set_subject_alt_name(certificate, GNUTLS_SAN_IPADDRESS, address.data(), address.size(),
                                         0);
    gnutls_x509_crt_set_basic_constraints(certificate, 1, -1);
    gnutls_x509_crt_set_key(certificate, key);
    gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256, 0);
    std::array<char, 8192> text{};
    test_certificate generated;
    std::size_t size = text.size();
    gnutls_x509_crt_export(certificate, GNUTLS_X509_FMT_PEM, text.data(), &size);
    generated.m_certificate_pem.assign(text.data(), size);
    size = text.size();
    gnutls_x509_privkey_export(key, GNUTLS_X509_FMT_PEM, text.data(), &size);
    generated.m_key_pem.assign(text.data(), size);
    gnutls_x509_crt_deinit(certificate);
    gnutls_x509_privkey_deinit(key);
    return generated;
}

} // namespace mangoquay::test
