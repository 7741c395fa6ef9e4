#include "net/input_scheduler.hpp"

#include <iterator>
#include <utility>

namespace bellstair::net {

// ---- InputSource

InputSource::InputSource(ev::loop_ref loop) : scheduler_(InputScheduler::of(loop)) {}

void InputSource::ready() {
  if (queue_ != nullptr) return;
  if (scheduler_ == nullptr) {
    read_(object_);
  } else if (scheduler_->reading_ != this) {
    scheduler_->enqueue(*this, scheduler_->fresh_);
  }
}

void InputSource::cancel() {
  if (scheduler_ != nullptr && scheduler_->reading_ == this) scheduler_->reading_ = nullptr;
  if (queue_ != nullptr) std::exchange(queue_, nullptr)->erase(position_);
}

// ---- InputScheduler

InputScheduler::InputScheduler(ev::loop_ref loop) : loop_(loop), wake_(loop) {
  ev_set_userdata(loop.raw_loop, this);
  wake_.set<InputScheduler, &InputScheduler::on_wake>(this);
}

InputScheduler::~InputScheduler() { ev_set_userdata(loop_.raw_loop, nullptr); }

InputScheduler* InputScheduler::of(ev::loop_ref loop) {
  return static_cast<InputScheduler*>(ev_userdata(loop.raw_loop));
}

void InputScheduler::enqueue(InputSource& source, Queue& queue) {
  queue.push_back(&source);
  source.queue_ = &queue;
  source.position_ = std::prev(queue.end());
  if (!wake_.is_active()) wake_.start(0, 0);
}

void InputScheduler::read_next(Queue& queue) {
  auto& source = *queue.front();
  queue.pop_front();
  source.queue_ = nullptr;
  reading_ = &source;
  const auto quantum = source.read_(source.object_);
  const bool alive = std::exchange(reading_, nullptr) != nullptr;
  if (alive && quantum == InputSource::Quantum::has_more) enqueue(source, backlogged_);
}

// Fresh sources come first. One backlogged source is read even if they have used up the turn, so that sources
// that become ready again and again can't take all turns.
std::size_t InputScheduler::run_turn(std::size_t min_quanta, const std::function<bool()>& may_continue) {
  std::size_t quanta = 0;
  bool limit_reached = false, backlogged_read = false;
  while (waiting() > 0) {
    if (limit_reached && (backlogged_read || backlogged_.empty())) break;
    auto& queue = limit_reached || fresh_.empty() ? backlogged_ : fresh_;
    backlogged_read = backlogged_read || &queue == &backlogged_;
    read_next(queue);
    ++quanta;
    limit_reached = !may_continue() && quanta >= min_quanta;
  }
  if (waiting() == 0) wake_.stop();
  return quanta;
}

}  // namespace bellstair::net
