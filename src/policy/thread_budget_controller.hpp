// The control loop that divides this broker's thread pool among the classes.
#pragma once

#include <vector>

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/request_table.hpp"

namespace bellstair::policy {

/// A PI controller for each class (Lu et al., "Feedback Control Architecture and Design Methodology for
/// Service Delay Guarantees in Web Servers", section III.D, equation 1). It raises a class's thread budget
/// while its queries wait longer than their objective. The pool is divided in order of rank.
class ThreadBudgetController {
 public:
  ThreadBudgetController(const Context& context, const Fleet& fleet, const ClassTable& classes,
                         const RequestTable& requests);

  /// A queued request has been sent.
  void record_dequeued(const Request& request);

  /// Divides the current pool by the controllers' last outputs.
  void divide_pool();
  /// Computes the controllers' outputs, once in each control period.
  void sample();

  /// Threads that a class may use before it takes threads that other classes leave free.
  [[nodiscard]] double budget(ClassIndex cls) const { return controllers_[cls].budget; }

 private:
  struct ClassController {
    double output = 0;        // threads
    double budget = 0;        // threads; the part of the output granted by the division by rank
    double last_error = 0;    // in wait objectives
    double wait_seconds = 0;  // of the queries sent in this period
    double sent = 0;          // queries in this period
  };

  [[nodiscard]] double mean_wait_seconds(ClassIndex cls) const;
  void update(ClassIndex cls, bool saturated);

  const Context& context_;
  const Fleet& fleet_;
  const ClassTable& classes_;
  const RequestTable& requests_;
  std::vector<ClassController> controllers_;  // by class
};

}  // namespace bellstair::policy
