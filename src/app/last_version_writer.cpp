#include "app/last_version_writer.hpp"

#include <utility>

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

constexpr core::Time kMinBackoff = 500ms, kMaxBackoff = 30s;

}  // namespace

LastVersionWriter::LastVersionWriter(ev::loop_ref loop, LastVersionFile file, control::VersionId persisted,
                                     std::uint64_t seed, WriteLog write_log)
    : file_(std::move(file)),
      persisted_(persisted),
      backoff_(kMinBackoff, kMaxBackoff, seed),
      write_log_(std::move(write_log)),
      worker_(std::in_place, loop) {}

LastVersionWriter::~LastVersionWriter() {
  worker_.reset();
  if (pending_) (void)file_.write(*pending_);
}

void LastVersionWriter::persist(const control::Version& version) {
  if (!file_.is_enabled() || version.id <= persisted_) return;
  pending_ = version;
  retry_at_ = {};
  backoff_.reset();
  if (!writing_) write();
}

void LastVersionWriter::tick(core::Time now) {
  now_ = now;
  if (pending_ && !writing_ && now_ >= retry_at_) write();
}

void LastVersionWriter::write() {
  writing_ = true;
  worker_->post([this, file = file_, version = *pending_]() -> std::function<void()> {
    auto error = file.write(version);
    return [this, id = version.id, error = std::move(error)] { on_written(id, error); };
  });
}

void LastVersionWriter::on_written(const control::VersionId& id,
                                   const std::optional<LastVersionError>& error) {
  writing_ = false;
  if (!error) {
    persisted_ = id;
    logged_failure_.reset();
    if (pending_->id <= persisted_) pending_.reset();
    return;
  }
  retry_at_ = now_ + backoff_.next_delay();
  if (logged_failure_ == id) return;
  logged_failure_ = id;
  write_log_("control: version " + control::to_text(id) +
             " could not be persisted for a restart; the write is retried: " + error->what());
}

}  // namespace bellstair::app
