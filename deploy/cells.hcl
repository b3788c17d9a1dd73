# Cells: several services of their own, between which jobs move when their home is full.
# Given to each controller with --cells FILE; without it there are no cells. docs/cells.md
# tells what it does, docs/cells-operations.md how it is run.

name   = "porto"            # this cell, as the others name it
listen = "10.0.0.1:8082"    # where this controller listens for cells

cell {
  name        = "tena"
  controllers = ["10.8.0.1:8082", "10.8.0.2:8082", "10.8.0.3:8082"]
}

patience_s    = 30.0   # a job waits so long at home before it may move
reserve_cpus  = 0.0    # CPUs kept free for this cell's own work
report_age_s  = 5.0    # age at which another cell's report of its room counts for nothing
transfers_max = 64     # transfers under way at once, in each direction
message_kb    = 64     # largest message

# Optional: chooses among the cells that have room, in the language of rhai.
policy = <<-SCRIPT
  fn choose(job, cells) {
    let best = cells[0];
    for cell in cells {
      if cell.images.contains(job.image) { return cell.name; }
      if cell.free_cpus > best.free_cpus { best = cell; }
    }
    best.name
  }
SCRIPT
