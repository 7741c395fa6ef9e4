#include "directory/ldap_directory.hpp"

// libldap is given a socket that is opened here (openldap.h), so that it never blocks while it connects or
// waits for a response.
#include <ldap.h>
#include <openldap.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

#include "net/io_watch.hpp"

namespace bellstair::directory {
namespace {
using namespace std::chrono_literals;

constexpr std::size_t kMaxConcurrentLookups = 32;  // each uses its own connection
constexpr std::size_t kMaxCachedResults = 4096;
constexpr const char* kHexDigits = "0123456789abcdef";

struct MessageDeleter {
  void operator()(LDAPMessage* message) const { ldap_msgfree(message); }
};
using Message = std::unique_ptr<LDAPMessage, MessageDeleter>;

}  // namespace

std::string escape_filter(std::string_view value) {
  std::string out;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '*' || c == '(' || c == ')' || c == '\\' || byte < 0x20 || byte >= 0x7f) {
      out += {'\\', kHexDigits[byte >> 4], kHexDigits[byte & 15]};
    } else {
      out += c;
    }
  }
  return out;
}

// The lookup of one user over one connection: bind as the service, search, bind as the user.
class LdapDirectory::UserLookup {
 public:
  enum class Stage { connecting, service_bind, search, user_bind };

  UserLookup(LdapDirectory& owner, std::string user, std::string password, LookupHandler handler)
      : owner_(owner),
        user_(std::move(user)),
        password_(std::move(password)),
        handler_(std::move(handler)),
        deadline_(owner.now_ + owner.config_.timeout),
        io_(owner.loop_) {
    io_.set<UserLookup, &UserLookup::read, &UserLookup::on_connected>(this);
  }
  ~UserLookup() { stop(); }
  UserLookup(const UserLookup&) = delete;
  UserLookup& operator=(const UserLookup&) = delete;

  // Returns false if the directory can't be reached.
  bool start() {
    const auto address = net::parse_address(owner_.config_.address);
    fd_ = address ? net::begin_connect(*address) : net::Fd();
    if (!fd_) return false;
    io_.watch(fd_.get(), ev::WRITE);
    return true;
  }

  void stop() {
    io_.stop();
    if (ldap_ != nullptr) ldap_unbind_ext(std::exchange(ldap_, nullptr), nullptr, nullptr);
    fd_.reset();
  }

  [[nodiscard]] core::Time deadline() const { return deadline_; }
  [[nodiscard]] const std::string& user() const { return user_; }
  [[nodiscard]] const std::string& password() const { return password_; }
  LookupHandler take_handler() { return std::exchange(handler_, {}); }

 private:
  void finish(LookupResult::Kind kind, std::string tenant = {}) {
    owner_.finish_lookup(*this, {kind, std::move(tenant)});
  }
  void finish_unavailable() { finish(LookupResult::Kind::unavailable); }

  // libldap reads one complete response at a time.
  [[nodiscard]] net::InputSource::Quantum read() {
    on_response();
    return net::InputSource::Quantum::drained;
  }

  void on_response() {
    LDAPMessage* raw = nullptr;
    timeval no_wait{0, 0};
    const int kind = ldap_result(ldap_, message_id_, LDAP_MSG_ALL, &no_wait, &raw);
    const Message message(raw);
    if (kind == 0) return;  // not complete yet
    int code = LDAP_OTHER;
    if (kind < 0 ||
        ldap_parse_result(ldap_, raw, &code, nullptr, nullptr, nullptr, nullptr, 0) != LDAP_SUCCESS)
      return finish_unavailable();
    switch (stage_) {
      case Stage::connecting:
        return;
      case Stage::service_bind:
        return code == LDAP_SUCCESS ? search() : finish_unavailable();
      case Stage::search:
        return code == LDAP_SUCCESS ? on_entry(raw) : finish_unavailable();
      case Stage::user_bind:
        if (code == LDAP_SUCCESS) return finish(LookupResult::Kind::granted, tenant_);
        return code == LDAP_INVALID_CREDENTIALS ? finish(LookupResult::Kind::denied) : finish_unavailable();
    }
  }

  void on_connected() {
    if (net::connect_error(fd_.get()) != 0) return finish_unavailable();
    io_.watch(fd_.get(), ev::READ);
    const auto url = "ldap://" + owner_.config_.address;
    // libldap closes the descriptor passed to it, so it is passed a duplicate.
    const int duplicate = ::dup(fd_.get());
    if (duplicate < 0 || ldap_init_fd(duplicate, LDAP_PROTO_TCP, url.c_str(), &ldap_) != LDAP_SUCCESS)
      return finish_unavailable();
    const int version = LDAP_VERSION3;
    ldap_set_option(ldap_, LDAP_OPT_PROTOCOL_VERSION, &version);
    ldap_set_option(ldap_, LDAP_OPT_REFERRALS, LDAP_OPT_OFF);
    if (owner_.config_.bind_dn.empty()) return search();
    bind(owner_.config_.bind_dn, owner_.config_.bind_password, Stage::service_bind);
  }

  void bind(const std::string& dn, std::string password, Stage stage) {
    berval credentials{password.size(), password.data()};
    stage_ = stage;
    if (ldap_sasl_bind(ldap_, dn.c_str(), LDAP_SASL_SIMPLE, &credentials, nullptr, nullptr, &message_id_) !=
        LDAP_SUCCESS)
      finish_unavailable();
  }

  void search() {
    const auto& config = owner_.config_;
    const auto filter = "(" + config.user_attribute + "=" + escape_filter(user_) + ")";
    auto attribute = config.tenant_attribute;
    char* attributes[] = {attribute.data(), nullptr};
    stage_ = Stage::search;
    if (ldap_search_ext(ldap_, config.base.c_str(), LDAP_SCOPE_SUBTREE, filter.c_str(), attributes, 0,
                        nullptr, nullptr, nullptr, 2, &message_id_) != LDAP_SUCCESS)
      finish_unavailable();
  }

  // Denies access unless exactly one entry matches.
  void on_entry(LDAPMessage* message) {
    if (ldap_count_entries(ldap_, message) != 1) return finish(LookupResult::Kind::denied);
    LDAPMessage* entry = ldap_first_entry(ldap_, message);
    const std::unique_ptr<char, void (*)(void*)> dn(ldap_get_dn(ldap_, entry), ldap_memfree);
    const std::unique_ptr<berval*, void (*)(berval**)> values(
        ldap_get_values_len(ldap_, entry, owner_.config_.tenant_attribute.c_str()), ldap_value_free_len);
    if (!dn || !values || values.get()[0] == nullptr) return finish(LookupResult::Kind::denied);
    const auto* first = values.get()[0];
    tenant_.assign(first->bv_val, first->bv_len);
    if (!owner_.names_.tenants.contains(tenant_)) return finish(LookupResult::Kind::denied);
    bind(dn.get(), password_, Stage::user_bind);
  }

  LdapDirectory& owner_;
  std::string user_, password_;
  LookupHandler handler_;
  core::Time deadline_;
  net::IoWatch io_;
  net::Fd fd_;
  LDAP* ldap_ = nullptr;
  Stage stage_ = Stage::connecting;
  int message_id_ = 0;
  std::string tenant_;
};

LdapDirectory::LdapDirectory(ev::loop_ref loop, const config::Directory& config, const config::Names& names)
    : loop_(loop), config_(config), names_(names), salt_(32, '\0') {
  RAND_bytes(reinterpret_cast<unsigned char*>(salt_.data()), static_cast<int>(salt_.size()));
  // libldap reads its configuration files at its first use, which is made here, before requests are served.
  ldap_set_option(nullptr, LDAP_OPT_REFERRALS, LDAP_OPT_OFF);
}

LdapDirectory::~LdapDirectory() = default;

// A salted digest, so that the cache holds no passwords.
std::string LdapDirectory::cache_key(const std::string& user, const std::string& password) const {
  const auto text = salt_ + std::to_string(user.size()) + ":" + user + password;
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), out.data(), &size, EVP_sha256(), nullptr);
  return {reinterpret_cast<const char*>(out.data()), size};
}

void LdapDirectory::look_up(const std::string& user, const std::string& password, LookupHandler handler) {
  // A bind with a name and an empty password is an unauthenticated bind (RFC 4513, 5.1.2): it always
  // succeeds.
  if (user.empty() || password.empty()) return handler({LookupResult::Kind::denied, {}});
  if (const auto found = cache_.find(cache_key(user, password));
      found != cache_.end() && now_ < found->second.expires_at)
    return handler(found->second.result);
  if (lookups_.size() >= kMaxConcurrentLookups) return handler({LookupResult::Kind::unavailable, {}});
  lookups_.push_back(std::make_unique<UserLookup>(*this, user, password, std::move(handler)));
  auto& lookup = *lookups_.back();
  if (!lookup.start()) finish_lookup(lookup, {LookupResult::Kind::unavailable, {}});
}

void LdapDirectory::finish_lookup(UserLookup& lookup, const LookupResult& result) {
  const auto found = std::ranges::find(lookups_, &lookup, &std::unique_ptr<UserLookup>::get);
  if (found == lookups_.end()) return;
  lookup.stop();
  finished_.push_back(std::move(*found));
  lookups_.erase(found);
  if (result.kind == LookupResult::Kind::granted) {
    if (cache_.size() >= kMaxCachedResults) cache_.clear();
    cache_[cache_key(lookup.user(), lookup.password())] = {result, now_ + config_.cache};
  }
  lookup.take_handler()(result);
}

void LdapDirectory::tick(core::Time now) {
  now_ = now;
  finished_.clear();
  // Lookups are ordered by their start, and therefore by their deadlines.
  while (!lookups_.empty() && lookups_.front()->deadline() <= now)
    finish_lookup(*lookups_.front(), {LookupResult::Kind::unavailable, {}});
}

}  // namespace bellstair::directory
