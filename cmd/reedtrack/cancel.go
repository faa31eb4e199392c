package main

type cancelCmd struct {
	clientFlags
	JobID string `arg:"" name:"id" help:"The job, as wk-000412."`
}

// Run cancels a job.
func (c *cancelCmd) Run() error {
	path, err := jobPath(c.JobID)
	if err != nil {
		return err
	}
	return c.post(path+"/withdraw", nil)
}
