//! Max-min fair division.

/// Returns the largest share of an account so that all shares together are `room`, where no account
/// gets more than it asks for.
///
/// `others` are the total demand and the number of accounts that are not listed in `demands`; they
/// count as equal. Returns infinity if `room` is enough for all.
///
/// ```
/// use pistachiohall::fair::level;
/// assert_eq!(level(vec![10.0, 1.0, 1.0], (0.0, 0), 6.0), 4.0);
/// assert_eq!(level(vec![10.0], (3.0, 3), 5.0), 2.0);
/// assert_eq!(level(vec![1.0, 2.0], (0.0, 0), 3.0), f64::INFINITY);
/// ```
pub fn level(demands: Vec<f64>, others: (f64, usize), room: f64) -> f64 {
    let (total, count) = others;
    let mut accounts: Vec<(f64, usize)> = demands.into_iter().map(|demand| (demand, 1)).collect();
    if count > 0 {
        accounts.push((total / count as f64, count));
    }
    accounts.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let mut left = room;
    let mut waiting: usize = accounts.iter().map(|(_, count)| count).sum();
    for (demand, count) in accounts {
        if demand * waiting as f64 >= left {
            // The exact amount for all is no shortage.
            let is_enough = demand * waiting as f64 <= left && waiting == count;
            return match is_enough {
                true => f64::INFINITY,
                false => left / waiting as f64,
            };
        }
        left -= demand * count as f64;
        waiting -= count;
    }
    f64::INFINITY
}
